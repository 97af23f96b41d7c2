#include "limits/ConnectionAllowance.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// One more connection is tried after each such time.
constexpr Duration GrowthStep = std::chrono::milliseconds(500);
/// The first allowance, in even shares: the balancer's hash gives some
/// instances about twice the callers of others.
constexpr std::size_t SharesAtFirst = 2;

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
  this->Reduced = Open;
}

std::size_t ConnectionAllowance::allowed(TimePoint Now) const {
  std::size_t Most =
      std::min(this->Options.MemberLimit, this->evenShare() * SharesAtFirst);
  if (!this->WasRefused)
    return Most;
  Duration Since = Now - this->ReducedAt;
  // Who holds none at all tries again sooner.
  Duration Pause = this->Reduced == 0 ? this->Options.RefusalPauseAtNone
                                      : this->Options.RefusalPause;
  if (Since < Pause)
    return this->Reduced;
  return std::min<std::size_t>(
      Most, this->Reduced + 1 +
                static_cast<std::size_t>((Since - Pause) / GrowthStep));
}

} // namespace turmericpitch
