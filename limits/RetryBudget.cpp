#include "limits/RetryBudget.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Keeps the shift in range; more doublings exceed any sensible MaxBackoff.
constexpr std::uint32_t MaxDoublings = 20;

} // namespace

void RetryBudget::onFirstAttempt() {
  this->Tokens =
      std::min(this->Options.MaxTokens, this->Tokens + this->Options.Ratio);
}

bool RetryBudget::spend() {
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

Duration retryBackoff(const RetryBudgetOptions &Options, std::uint32_t Retry,
                      RandomSource &Random) {
  std::uint32_t Doublings =
      std::min(std::max(Retry, std::uint32_t{1}) - 1, MaxDoublings);
  Duration Bound =
      std::min(Options.InitialBackoff * (std::int64_t{1} << Doublings),
               Options.MaxBackoff);
  auto Micros = static_cast<std::uint32_t>(Bound.count());
  return Duration(Random.nextBelow(Micros + 1));
}

} // namespace turmericpitch
