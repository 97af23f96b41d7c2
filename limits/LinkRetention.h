// Decides how long this instance keeps idle connections to a member open.
#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"

#include <cstddef>
#include <optional>

namespace turmericpitch {

struct LinkRetentionOptions {
  /// If this instance's even share of the member's connection limit is at least
  /// this, MinOpenLinks connections are kept open regardless of use.
  std::size_t MinShareToKeepLinks = 4;
  /// The number is small because a member holds the connections of an instance
  /// that lost power for three more seconds, and they count against its limit
  /// when the instance has restarted.
  std::size_t MinOpenLinks = 2;
  /// Idle timeout of further connections if the share is large.
  Duration ExtraIdleTimeout = std::chrono::milliseconds(1000);
  /// Idle timeout of connections that are not held if the share is small.
  Duration SmallShareIdleTimeout = std::chrono::milliseconds(300);
  /// The same while the member reports that at most RoomFraction of its limit
  /// is used. It then has room for connections beyond the held ones, and for
  /// peaks.
  Duration RoomIdleTimeout = std::chrono::seconds(10);
  double RoomFraction = 0.85;
  /// The same while the member is crowded. An idle connection then keeps out
  /// another instance's statement.
  Duration CrowdedIdleTimeout = std::chrono::milliseconds(50);
  /// From this fraction of an instance's statements at a crowded member on, an
  /// account keeps its idle connection for that long: the next statement is
  /// likelier to need it than another one.
  double MinShareToKeepCrowded = 0.5;
  /// Idle timeout of a held connection. Members close connections that are idle
  /// for a minute.
  Duration HeldIdleTimeout = std::chrono::seconds(30);
  /// Fraction of the member's limit that held connections of all instances may
  /// occupy. The rest is for peaks and for instances that have restarted.
  double MaxHeldFraction = 0.7;
  /// The same at a replica, where few transactions occupy connections.
  double MaxHeldFractionAtReplica = 0.85;
  /// Above this fraction of its limit a member counts as crowded, and idle
  /// connections to it are not held.
  double CrowdedFraction = 0.9;
  /// The same for held connections, which give way only at a full member.
  double FullFraction = 0.97;
  /// A member also counts as crowded for this long after it has refused a
  /// connection at its limit. Members drop dead connections after 3 s.
  Duration CrowdedAfterRefusal = std::chrono::milliseconds(3000);
  /// After its start, an instance holds no connection for this long unless the
  /// member reports that it has room: members may still hold those of earlier
  /// processes.
  Duration StartPeriod = std::chrono::milliseconds(3500);
};

/// The connections of one member as seen by this instance. Immutable value.
struct MemberOccupancy {
  /// Connections that the member accepts from all instances together.
  std::size_t Limit = 1;
  std::size_t Instances = 1;
  /// This instance's use of the member relative to the average over all
  /// instances: above one at a replica that only some of them prefer for reads,
  /// zero at a replica that it doesn't prefer.
  double RelativeUse = 1;
  bool Replica = false;
  /// This instance's position among those that use the member, from 0 to 1; see
  /// retentionPosition().
  double Position = 0;
  /// Connections of all instances in the member's newest report; empty if there
  /// is no recent one.
  std::optional<std::size_t> Reported = std::nullopt;
  /// When the member last refused a connection at its limit.
  std::optional<TimePoint> RefusedAt = std::nullopt;
  /// When this instance began to use the member.
  TimePoint StartedAt = {};
};

/// A position that is uniformly distributed over the pairs of instances and
/// members and never changes. Pure; thread-safe.
double retentionPosition(const InstanceId &Instance, const UpstreamId &Member);

/// Keeps connections of fleets in which each instance sends a member only one
/// or two statements per second. A new connection occupies one of the member's
/// slots for about as long as a short statement, so closing it between two
/// statements costs the member a third of its capacity. An instance holds as
/// many as its share of the limit has room for; of a fractional share, only
/// instances with the lowest positions hold one more. Immutable; thread-safe.
class LinkRetention {
public:
  explicit LinkRetention(LinkRetentionOptions Options = {})
      : Options(Options) {}

  /// Number of connections that are kept open regardless of use.
  [[nodiscard]] std::size_t minOpen(const MemberOccupancy &Seen) const;
  /// Idle timeout of a connection. Rank: number of idle connections that are
  /// more worth keeping; see rankIdleConnections().
  [[nodiscard]] Duration idleTimeout(const MemberOccupancy &Seen,
                                     std::size_t Rank, TimePoint Now) const;
  /// Whether a connection is kept that becomes idle now. At a crowded member it
  /// is closed at once, unless this instance's next statement there is likely
  /// to be of the same account: until then it keeps out statements of others.
  /// AccountShare: its account's fraction of this instance's statements at the
  /// member.
  [[nodiscard]] bool keepsIdle(const MemberOccupancy &Seen, std::size_t Rank,
                               double AccountShare, TimePoint Now) const;
  /// Whether this instance's even share of the member's limit is too small to
  /// keep MinOpenLinks regardless of use.
  [[nodiscard]] bool hasSmallShare(const MemberOccupancy &Seen) const;
  /// Number of idle connections that this instance may hold.
  [[nodiscard]] std::size_t heldLinks(const MemberOccupancy &Seen) const;
  /// Whether the member reports room for connections that aren't held.
  [[nodiscard]] bool hasRoom(const MemberOccupancy &Seen) const;

private:
  /// Whether more than Fraction of the member's limit is in use, as far as this
  /// instance knows.
  [[nodiscard]] bool isCrowded(const MemberOccupancy &Seen, double Fraction,
                               TimePoint Now) const;
  /// Whether the member is too crowded to hold a connection of this rank.
  [[nodiscard]] bool isCrowdedAt(const MemberOccupancy &Seen, std::size_t Rank,
                                 TimePoint Now) const;

  LinkRetentionOptions Options;
};

} // namespace turmericpitch
