#include "limits/OutageWaitPolicy.h"

#include <algorithm>

namespace turmericpitch {

std::optional<TimePoint>
OutageMonitor::onPlacement(bool NeedsPrimary, bool AnyMember, TimePoint Now) {
  std::optional<Outage> &Seen =
      NeedsPrimary ? this->OfPrimary : this->OfReaders;
  if (AnyMember) {
    Seen.reset();
    return std::nullopt;
  }
  if (!Seen || Now - Seen->SeenAt > MaxGap)
    Seen = Outage{.BeganAt = Now, .SeenAt = Now};
  Seen->SeenAt = Now;
  return Seen->BeganAt;
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
