// Decides when the grantor set changes, and to which instances.
#pragma once

#include "core/Time.h"
#include "failover/GrantorSet.h"
#include "membership/InstanceRegistry.h"

#include <optional>

namespace turmericpitch {

struct GrantorMaintenanceOptions {
  /// A set has at most this many members, so that it keeps a majority after two
  /// losses. Sets are odd, as an even number bears no more losses.
  std::size_t MaxCount = 5;
  /// How long a grantor may be missing from the registry before it is replaced.
  /// One that is killed registers again within about three seconds.
  Duration MissingTimeout = std::chrono::milliseconds(5000);
  /// The first set is chosen once the list of instances has not changed for
  /// this long, as all instances start at the same time.
  Duration StableListTime = std::chrono::milliseconds(2000);
  /// Minimum time between two changes: until then, reads that showed the set
  /// before the last one may still be in use.
  Duration MinAge = std::chrono::milliseconds(15'400);
};

/// Replaces grantors that are gone for good and spreads the set over
/// availability zones. Performs no I/O; not thread-safe.
class GrantorMaintenance {
public:
  explicit GrantorMaintenance(GrantorMaintenanceOptions Options = {})
      : Options(Options) {}

  /// Call regularly with the set and the registered instances as last read.
  /// Returns the set to write in place of this one, or nothing.
  std::optional<GrantorSet>
  update(const GrantorSet &Set, const std::vector<RegisteredInstance> &Listed,
         TimePoint Now);

private:
  [[nodiscard]] bool needsChange(const GrantorSet &Set,
                                 const std::set<Grantor> &Present,
                                 TimePoint Now);

  GrantorMaintenanceOptions Options;
  /// The set last seen, and since when.
  std::optional<Revision> SeenRevision;
  TimePoint SeenSince;
  std::set<Grantor> Present;
  TimePoint ListStableSince;
  std::optional<TimePoint> MissingSince;
};

/// Chooses grantors among the registered instances: keeps those of Kept that
/// are registered, and fills up from the zones with the fewest. Pure;
/// thread-safe.
std::vector<Grantor>
chooseGrantors(std::size_t MaxCount, const std::vector<Grantor> &Kept,
               const std::vector<RegisteredInstance> &Listed);

} // namespace turmericpitch
