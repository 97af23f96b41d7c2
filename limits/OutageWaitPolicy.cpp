#include "limits/OutageWaitPolicy.h"

#include <algorithm>

namespace turmericpitch {

OutageWaitDecision decideOutageWait(const OutageWaitOptions &Options,
                                    TimePoint ArrivedAt, TimePoint Deadline,
                                    std::optional<Duration> ExpectedIn,
                                    TimePoint Now) {
  if (!ExpectedIn) {
    if (Now - ArrivedAt < Options.MaxWaitIfUnknown)
      return {.Wait = true};
    return {.Wait = false, .RetryAfter = Options.RetryAfter};
  }
  if (Now + *ExpectedIn + Options.Reserve <= Deadline)
    return {.Wait = true};
  return {.Wait = false,
          .RetryAfter = std::max(*ExpectedIn, Options.MinRetryAfter)};
}

} // namespace turmericpitch
