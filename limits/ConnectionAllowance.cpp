#include "limits/ConnectionAllowance.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// After a refusal, the allowance grows by one connection per interval.
constexpr Duration GrowthInterval = std::chrono::milliseconds(500);
/// Initial allowance in multiples of the even share. The load balancer's
/// hashing gives some instances about twice the callers of others.
constexpr std::size_t InitialShares = 2;

} // namespace

ConnectionAllowance::ConnectionAllowance(ConnectionAllowanceOptions Options)
    : Options(Options) {}

void ConnectionAllowance::configure(ConnectionAllowanceOptions Changed) {
  this->Options = Changed;
}

std::size_t ConnectionAllowance::evenShare() const {
  return std::max<std::size_t>(
      1, this->Options.MemberLimit /
             std::max<std::size_t>(1, this->Options.Instances));
}

void ConnectionAllowance::onRefused(std::size_t Open, TimePoint Now) {
  this->WasRefused = true;
  this->ReducedAt = Now;
  this->ReducedLimit = Open;
}

std::size_t ConnectionAllowance::allowed(TimePoint Now) const {
  std::size_t MaxAllowed =
      std::min(this->Options.MemberLimit, this->evenShare() * InitialShares);
  if (!this->WasRefused)
    return MaxAllowed;
  Duration Since = Now - this->ReducedAt;
  // An instance without any connection retries sooner.
  Duration Pause = this->ReducedLimit == 0
                       ? this->Options.RefusalPauseWithoutConnections
                       : this->Options.RefusalPause;
  if (Since < Pause)
    return this->ReducedLimit;
  return std::min<std::size_t>(
      MaxAllowed,
      this->ReducedLimit + 1 +
          static_cast<std::size_t>((Since - Pause) / GrowthInterval));
}

} // namespace turmericpitch
