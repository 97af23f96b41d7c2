#include "limits/OutagePatience.h"

#include <algorithm>

namespace turmericpitch {

PatienceVerdict decidePatience(const OutagePatienceOptions &Options,
                               TimePoint ArrivedAt, TimePoint Deadline,
                               std::optional<Duration> ExpectedIn,
                               TimePoint Now) {
  if (!ExpectedIn) {
    if (Now - ArrivedAt < Options.Unknown)
      return {.Wait = true};
    return {.Wait = false, .ComeBackAfter = Options.ComeBackAfter};
  }
  if (Now + *ExpectedIn + Options.Reserve <= Deadline)
    return {.Wait = true};
  return {.Wait = false,
          .ComeBackAfter = std::max(*ExpectedIn, Options.LeastComeBack)};
}

} // namespace turmericpitch
