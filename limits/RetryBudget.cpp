#include "limits/RetryBudget.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// More doublings would pass any sensible bound.
constexpr std::uint32_t MostDoublings = 20;

} // namespace

void RetryBudget::onFirstAttempt() {
  this->Saved =
      std::min(this->Options.MostSaved, this->Saved + this->Options.Ratio);
}

bool RetryBudget::spend() {
  if (this->Saved < 1)
    return false;
  this->Saved -= 1;
  return true;
}

Duration retryBackoff(const RetryBudgetOptions &Options, std::uint32_t Retry,
                      RandomSource &Random) {
  std::uint32_t Doublings =
      std::min(std::max(Retry, std::uint32_t{1}) - 1, MostDoublings);
  Duration Bound =
      std::min(Options.FirstBackoff * (std::int64_t{1} << Doublings),
               Options.LongestBackoff);
  auto Micros = static_cast<std::uint32_t>(Bound.count());
  return Duration(Random.nextBelow(Micros + 1));
}

} // namespace turmericpitch
