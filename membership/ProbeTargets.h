// Whom to probe next.
#pragma once

#include "core/RandomSource.h"
#include "membership/InstanceTable.h"
#include "membership/MembershipOptions.h"

#include <optional>

namespace turmericpitch {

/// Chooses mostly instances of the own zone, each once in a shuffled round,
/// and some of other zones, zone by zone. Not thread-safe.
class ProbeTargets {
public:
  ProbeTargets(InstanceId Self, ZoneId Zone, double CrossZoneShare);

  /// The next instance that is not held dead, or nothing if there is none.
  std::optional<InstanceId> next(const InstanceTable &Table,
                                 RandomSource &Random);
  /// Up to Count different instances of the own zone, else of any, that are
  /// neither dead nor Except.
  std::vector<InstanceId> pickPeers(const InstanceTable &Table,
                                    const InstanceId &Except, std::size_t Count,
                                    RandomSource &Random) const;
  /// Share of probes that go to other zones: enough for the own zone's
  /// instances together to reach each other zone every few periods.
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
  /// What is left of the rounds, the next one last.
  std::vector<InstanceId> OwnZoneRound;
  std::vector<ZoneId> OtherZonesRound;
};

} // namespace turmericpitch
