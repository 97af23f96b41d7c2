#include "limits/AccountUse.h"

#include <cmath>

namespace turmericpitch {

double AccountUse::decayed(const Entry &Of, TimePoint Now) const {
  std::chrono::duration<double> Age(Now - Of.At);
  std::chrono::duration<double> TimeConstant(this->Options.TimeConstant);
  return Of.Weight * std::exp(-Age / TimeConstant);
}

void AccountUse::note(const ClientAccountId &Account, TimePoint Now) {
  Entry &Of = this->Accounts[Account];
  Of = {.Weight = this->decayed(Of, Now) + 1, .At = Now};
  this->Total = {.Weight = this->decayed(this->Total, Now) + 1, .At = Now};
  if (this->Accounts.size() > this->Options.MaxAccounts)
    this->forgetUnused(Now);
}

double AccountUse::weight(const ClientAccountId &Account, TimePoint Now) const {
  auto Found = this->Accounts.find(Account);
  return Found == this->Accounts.end() ? 0 : this->decayed(Found->second, Now);
}

double AccountUse::share(const ClientAccountId &Account, TimePoint Now) const {
  double All = this->decayed(this->Total, Now);
  return All > 0 ? this->weight(Account, Now) / All : 0;
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
