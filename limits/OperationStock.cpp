#include "limits/OperationStock.h"

#include <algorithm>
#include <cmath>

namespace turmericpitch {

void OperationStock::removeExpired(TimePoint Now) {
  std::erase_if(this->Entries, [&](const Entry &E) {
    return E.ExpiresAt <= Now || E.Operations < 1;
  });
}

void OperationStock::add(double Operations, TimePoint ExpiresAt,
                         TimePoint Now) {
  this->removeExpired(Now);
  auto SameExpiry =
      std::find_if(this->Entries.begin(), this->Entries.end(),
                   [&](const Entry &E) { return E.ExpiresAt == ExpiresAt; });
  if (SameExpiry != this->Entries.end()) {
    SameExpiry->Operations += std::floor(Operations);
    return;
  }
  this->Entries.push_back(
      {.ExpiresAt = ExpiresAt, .Operations = std::floor(Operations)});
}

std::optional<TimePoint> OperationStock::take(TimePoint Now) {
  this->removeExpired(Now);
  auto First = std::min_element(
      this->Entries.begin(), this->Entries.end(),
      [](const Entry &A, const Entry &B) { return A.ExpiresAt < B.ExpiresAt; });
  if (First == this->Entries.end())
    return std::nullopt;
  First->Operations -= 1;
  return First->ExpiresAt;
}

double OperationStock::available(TimePoint Now) const {
  double Sum = 0;
  for (const Entry &Each : this->Entries)
    if (Each.ExpiresAt > Now)
      Sum += Each.Operations;
  return Sum;
}

} // namespace turmericpitch
