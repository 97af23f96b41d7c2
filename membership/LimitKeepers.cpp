#include "membership/LimitKeepers.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace turmericpitch {

std::vector<InstanceId>
selectLimitKeepers(const std::vector<RegisteredInstance> &Instances) {
  std::map<ZoneId, std::vector<InstanceId>> ByZone;
  for (const RegisteredInstance &Each : Instances)
    ByZone[Each.Zone].push_back(Each.Id);
  std::size_t Largest = 0;
  for (auto &[Zone, Members] : ByZone) {
    std::sort(Members.begin(), Members.end(),
              [](const InstanceId &Left, const InstanceId &Right) {
                auto RankOf = [](const InstanceId &Id) {
                  return XXH64(Id.Value.data(), Id.Value.size(), 0);
                };
                return std::pair(RankOf(Left), Left) <
                       std::pair(RankOf(Right), Right);
              });
    std::size_t Count =
        (Members.size() + InstancesPerKeeper - 1) / InstancesPerKeeper;
    Members.resize(Count);
    Largest = std::max(Largest, Count);
  }
  std::vector<InstanceId> Keepers;
  for (std::size_t Rank = 0; Rank < Largest; ++Rank)
    for (const auto &[Zone, Members] : ByZone)
      if (Rank < Members.size() && Keepers.size() < MaxLimitKeepers)
        Keepers.push_back(Members[Rank]);
  return Keepers;
}

} // namespace turmericpitch
