#include "routing/CapacityEstimate.h"

#include <algorithm>

namespace turmericpitch {

std::optional<CapacityEstimate>
estimateCapacity(std::span<const MemberCandidate> Candidates) {
  double Share = 0;
  Duration ServiceTime{0};
  for (const MemberCandidate &Each : Candidates) {
    if (Each.Excluded)
      continue;
    Share += Each.Share;
    ServiceTime = std::max(ServiceTime, Each.TypicalServiceTime);
  }
  if (Share == 0)
    return std::nullopt;
  auto Interval = static_cast<Duration::rep>(
      static_cast<double>(ServiceTime.count()) / Share);
  return CapacityEstimate{.StartInterval = Duration(Interval),
                          .ServiceTime = ServiceTime};
}

} // namespace turmericpitch
