// Chooses the member that serves a statement, by consistency needs and zone.
#pragma once

#include "core/RandomSource.h"
#include "routing/UpstreamView.h"

#include <string_view>

namespace turmericpitch {

/// Why a member was chosen.
enum class RouteReason {
  /// A replica known to hold the session's position.
  ReplicaHolds,
  /// A replica that will soon hold the session's position; the statement waits.
  ReplicaCatchesUp,
  /// A replica within the maximum age.
  ReplicaWithinAge,
  /// The primary, because the statement writes.
  PrimaryForWrite,
  /// The primary, because no replica is suitable.
  PrimaryFallback,
};

/// Returns the stable name of the reason, as used in the decision log.
/// Thread-safe.
std::string_view toString(RouteReason Reason);

/// Requirements of a read on the member that serves it.
struct ReadRequirements {
  /// The newest position that the session has seen.
  TermPosition Seen;
  /// Maximum age of the data. If set, Seen is ignored.
  std::optional<Duration> MaximumAge;
  /// Members that have already failed this read.
  std::vector<UpstreamId> Excluded;
};

struct RoutingOptions {
  /// The instance's availability zone; its members are preferred.
  ZoneId Zone;
  /// Maximum wait for a replica to catch up. Replicas whose observed lag is
  /// longer are not used.
  Duration MaxReplicaWait = std::chrono::milliseconds(20);
  /// Time-out of an attempt that may be retried.
  Duration AttemptTimeout = std::chrono::milliseconds(500);
  /// How long a failed member is not used for reads.
  Duration FailureBackoff = std::chrono::milliseconds(500);
};

/// The chosen member.
struct Route {
  UpstreamId Target;
  Endpoint Where;
  RouteReason Reason = RouteReason::PrimaryFallback;
  /// How long to wait there first until the member holds the session's
  /// position.
  Duration WaitTimeout{0};

  bool operator==(const Route &) const = default;
};

/// Returns an upper bound of the age of the data that a member's status
/// describes; empty if unknown. Only samples confirmed by a majority are used,
/// so the bound also holds if the view's primary has been superseded.
/// Thread-safe.
std::optional<Duration> ageBound(const DatabaseView &View,
                                 const MemberStatus &Known, TimePoint Now);

/// Estimates how far a member was behind the primary when it was last queried;
/// 0 if it held every known sample. Thread-safe.
Duration observedLag(const DatabaseView &View, const MemberView &Member);

/// Returns the error for a session that has seen entries which a promotion
/// discarded; empty otherwise. Thread-safe.
std::optional<Error> staleSessionError(const DatabaseView &View,
                                       const TermPosition &Seen);

/// Chooses the member for a read; empty if none is suitable. Pure; thread-safe
/// except for Random. Errors: StaleToken if a promotion discarded entries that
/// the session has seen.
Result<std::optional<Route>> chooseForRead(const DatabaseView &View,
                                           const ReadRequirements &Needs,
                                           const RoutingOptions &Options,
                                           TimePoint Now, RandomSource &Random);

/// Whether a write in flight at a member can be abandoned: another member is
/// the primary of a newer term, so no write of this one can be confirmed any
/// more. Thread-safe.
bool isSuperseded(const DatabaseView &View, const UpstreamId &Target);

/// Chooses the primary for a write; empty if there is none. Thread-safe.
std::optional<Route> chooseForWrite(const DatabaseView &View);

} // namespace turmericpitch
