#include "limits/OutageWaitPolicy.h"

#include <algorithm>

namespace turmericpitch {

std::optional<TimePoint>
OutageMonitor::onPlacement(bool NeedsPrimary, bool AnyMember, TimePoint Now) {
  std::optional<TimePoint> &Since =
      NeedsPrimary ? this->NoPrimarySince : this->NoReaderSince;
  if (AnyMember)
    Since.reset();
  else if (!Since)
    Since = Now;
  return Since;
}

OutageWaitDecision decideOutageWait(const OutageWaitOptions &Options,
                                    TimePoint BeganAt, TimePoint Deadline,
                                    std::optional<Duration> ExpectedIn,
                                    TimePoint Now) {
  if (!ExpectedIn) {
    Duration Lasted = Now - BeganAt;
    if (Lasted < Options.MaxWaitIfUnknown)
      return {.Wait = true};
    return {.Wait = false,
            .RetryAfter = std::clamp(Lasted, Options.MinRetryAfter,
                                     Options.MaxRetryAfterIfUnknown)};
  }
  if (Now + *ExpectedIn + Options.Reserve <= Deadline)
    return {.Wait = true};
  return {.Wait = false,
          .RetryAfter = std::max(*ExpectedIn, Options.MinRetryAfter)};
}

} // namespace turmericpitch
