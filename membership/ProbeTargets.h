// Selects the instances to probe.
#pragma once

#include "core/RandomSource.h"
#include "membership/InstanceTable.h"
#include "membership/MembershipOptions.h"

#include <optional>

namespace turmericpitch {

/// Selects mostly instances of this instance's zone, each once per shuffled
/// round, and some instances of other zones, zone by zone. Not thread-safe.
class ProbeTargets {
public:
  ProbeTargets(InstanceId Self, ZoneId Zone, double CrossZoneShare);

  /// The next instance to probe that is not dead, or nothing if there is none.
  std::optional<InstanceId> next(const InstanceTable &Table,
                                 RandomSource &Random);
  /// Picks up to Count different instances at random that are neither dead nor
  /// Except. Instances of this zone come before those of others.
  std::vector<InstanceId> pickPeers(const InstanceTable &Table,
                                    const InstanceId &Except, std::size_t Count,
                                    RandomSource &Random) const;
  /// Share of probes that go to other zones. It is large enough for the
  /// instances of this zone together to reach each other zone every few
  /// periods.
  [[nodiscard]] double crossZoneProbeShare(const InstanceTable &Table) const;

private:
  std::optional<InstanceId> nextInZone(const InstanceTable &Table,
                                       RandomSource &Random);
  std::optional<InstanceId> nextInOtherZone(const InstanceTable &Table,
                                            RandomSource &Random);
  [[nodiscard]] bool isProbeTarget(const InstanceTable &Table,
                                   const InstanceId &Id) const;

  InstanceId Self;
  ZoneId Zone;
  double CrossZoneShare;
  /// The targets left in the current rounds; the next one is last.
  std::vector<InstanceId> OwnZoneRound;
  std::vector<ZoneId> OtherZonesRound;
};

} // namespace turmericpitch
