// Options of the membership protocol.
#pragma once

#include "core/Time.h"
#include "membership/InstanceRecord.h"

#include <vector>

namespace turmericpitch {

/// An instance named in the settings, which is contacted to join.
struct MembershipSeed {
  InstanceId Id;
  ZoneId Zone;
  Endpoint PeerEndpoint;

  auto operator<=>(const MembershipSeed &) const = default;
};

/// An entry of the platform's instance list. The list may be out of date.
struct PlatformInstance {
  MembershipSeed Instance;
  bool Leaving = false;
  /// When the platform last changed the entry; wall clock in milliseconds.
  std::uint64_t SinceMilliseconds = 0;

  auto operator<=>(const PlatformInstance &) const = default;
};

struct MembershipOptions {
  MembershipSeed Self;
  /// Wall clock at the process's start, in milliseconds.
  Incarnation IncarnationNumber;
  std::vector<MembershipSeed> Seeds;
  /// Interval between probes.
  Duration Period = std::chrono::seconds(1);
  /// Time without an Ack after which a probe is repeated and also sent
  /// indirectly through other instances.
  Duration AckTimeout = std::chrono::milliseconds(300);
  /// Number of instances asked to probe on this instance's behalf.
  std::size_t IndirectProbes = 3;
  /// Consecutive periods in which a probe must fail before its target is
  /// suspected.
  unsigned FailedProbesToSuspect = 2;
  /// As FailedProbesToSuspect, but applies if this instance has received no
  /// message at all meanwhile. Its own network is then the likely cause.
  unsigned FailedProbesToSuspectIsolated = 6;
  /// A suspect instance is declared dead after this time multiplied by the
  /// decimal logarithm of the number of instances, which counts as at least
  /// one.
  Duration SuspicionTimeoutStep = std::chrono::seconds(2);
  /// Minimum share of probes that go to other zones.
  double CrossZoneShare = 0.2;
  /// Instances of a zone with fewer instances than this may be suspected by any
  /// prober, those of larger zones only by probers in the same zone.
  std::size_t SmallZoneSize = 8;
  /// Minimum time without a message after which a zone counts as unreachable.
  Duration ZoneSilenceTimeout = std::chrono::seconds(10);
  /// Periods between probes of dead instances and of unknown seeds.
  unsigned ReconnectPeriods = 5;
  /// Time for which dead instances are remembered. Must exceed the time for
  /// which regions can lose contact with each other.
  Duration DeadRetention = std::chrono::hours(2);
  /// A gap between ticks longer than this means that the process was paused.
  Duration PauseThreshold = std::chrono::seconds(2);
  /// Most bytes of updates in one probe or reply.
  std::size_t UpdateBytes = 400;
  /// Minimum time between requests for pages of the table.
  Duration PageInterval = std::chrono::milliseconds(20);
  /// Time to wait for a page before the request is repeated.
  Duration PageTimeout = std::chrono::milliseconds(500);
};

} // namespace turmericpitch
