#include "limits/AccountUse.h"

#include <algorithm>
#include <cmath>

namespace turmericpitch {

double AccountUse::decayed(const Entry &Of, TimePoint Now) const {
  std::chrono::duration<double> Age(Now - Of.At);
  std::chrono::duration<double> TimeConstant(this->Options.TimeConstant);
  return Of.Weight * std::exp(-Age / TimeConstant);
}

void AccountUse::note(const ClientAccountId &Account, TimePoint Now) {
  if (!this->StartedAt)
    this->StartedAt = Now;
  Entry &Of = this->Accounts[Account];
  Of = {.Weight = this->decayed(Of, Now) + 1, .At = Now};
  if (this->Accounts.size() > this->Options.MaxAccounts)
    this->forgetUnused(Now);
}

double AccountUse::weight(const ClientAccountId &Account, TimePoint Now) const {
  auto Found = this->Accounts.find(Account);
  return Found == this->Accounts.end() ? 0 : this->decayed(Found->second, Now);
}

double AccountUse::perSecond(const ClientAccountId &Account,
                             TimePoint Now) const {
  if (!this->StartedAt)
    return 0;
  std::chrono::duration<double> Known(
      std::max(Now - *this->StartedAt, this->Options.MinPeriod));
  std::chrono::duration<double> TimeConstant(this->Options.TimeConstant);
  // The weight of one statement a second since the start.
  double Period = TimeConstant.count() * (1 - std::exp(-Known / TimeConstant));
  return this->weight(Account, Now) / Period;
}

void AccountUse::forgetUnused(TimePoint Now) {
  double Sum = 0;
  for (const auto &[Id, Of] : this->Accounts)
    Sum += this->decayed(Of, Now);
  double Mean = Sum / static_cast<double>(this->Accounts.size());
  std::erase_if(this->Accounts, [&](const auto &Each) {
    return this->decayed(Each.second, Now) <= Mean;
  });
}

} // namespace turmericpitch
