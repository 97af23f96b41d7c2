// Settings of the membership exchange.
#pragma once

#include "core/Time.h"
#include "membership/InstanceRecord.h"

#include <vector>

namespace turmericpitch {

/// An instance to begin with.
struct MembershipSeed {
  InstanceId Id;
  ZoneId Zone;
  Endpoint PeerEndpoint;

  auto operator<=>(const MembershipSeed &) const = default;
};

/// One entry of the platform's lagging list.
struct PlatformInstance {
  MembershipSeed Instance;
  bool Leaving = false;
  /// When the platform last changed the entry, wall clock, milliseconds.
  std::uint64_t SinceMilliseconds = 0;

  auto operator<=>(const PlatformInstance &) const = default;
};

struct MembershipOptions {
  MembershipSeed Self;
  /// Wall clock at the start, in milliseconds.
  Incarnation IncarnationNumber;
  std::vector<MembershipSeed> Seeds;
  /// One probe is sent in each period.
  Duration Period = std::chrono::seconds(1);
  /// Silence after which a probe is repeated, and sent through others.
  Duration AckTimeout = std::chrono::milliseconds(300);
  /// Others asked to probe on one's behalf.
  std::size_t IndirectProbes = 3;
  /// Periods in a row in which a probe must fail before suspicion.
  unsigned FailedProbesToSuspect = 2;
  /// The same if nothing at all was heard meanwhile, as the fault is then
  /// likely this instance's own.
  unsigned FailedProbesToSuspectIsolated = 6;
  /// A suspect is held dead after this long for each factor of ten in the
  /// number of instances.
  Duration SuspicionTimeoutStep = std::chrono::seconds(2);
  /// Least share of probes that go to other zones.
  double CrossZoneShare = 0.2;
  /// In zones with fewer instances, every prober may suspect; in others only
  /// those of the zone itself.
  std::size_t SmallZoneSize = 8;
  /// Least silence after which a zone is unreachable.
  Duration ZoneSilenceTimeout = std::chrono::seconds(10);
  /// Periods between probes of an instance held dead, or of a seed.
  unsigned ReconnectPeriods = 5;
  /// The dead are remembered for longer than regions lose each other.
  Duration DeadRetention = std::chrono::hours(2);
  /// A longer gap between ticks means that this process was paused.
  Duration PauseThreshold = std::chrono::seconds(2);
  /// Bytes of updates in one probe or answer.
  std::size_t UpdateBytes = 400;
  /// Least time between requests for pages of the table.
  Duration PageInterval = std::chrono::milliseconds(20);
  Duration PageTimeout = std::chrono::milliseconds(500);
};

} // namespace turmericpitch
