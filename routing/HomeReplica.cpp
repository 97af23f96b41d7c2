#include "routing/HomeReplica.h"

#include "limits/LinkRetention.h"

#include <tuple>

namespace turmericpitch {

std::optional<UpstreamId>
homeReplica(const InstanceId &Instance, const ZoneId &Zone,
            std::span<const RegisteredMember> Members) {
  std::optional<std::tuple<bool, double, UpstreamId>> Best;
  for (const RegisteredMember &Each : Members) {
    if (Each.Role == MemberRole::Primary || Each.Draining)
      continue;
    std::tuple Rank(Each.Zone != Zone, retentionPosition(Instance, Each.Id),
                    Each.Id);
    if (!Best || Rank < *Best)
      Best = Rank;
  }
  if (!Best)
    return std::nullopt;
  return std::get<UpstreamId>(*Best);
}

} // namespace turmericpitch
