// Chooses the member that serves a statement.
#pragma once

#include "core/RandomSource.h"
#include "routing/UpstreamView.h"

#include <string_view>

namespace turmericpitch {

/// Why a member was chosen.
enum class RouteReason {
  /// A replica known to hold what the session has seen.
  ReplicaHolds,
  /// A replica that is waited for, as it is about to hold it.
  ReplicaCatchesUp,
  /// A replica within the accepted age.
  ReplicaWithinAge,
  /// The primary, as the statement writes.
  PrimaryForWrite,
  /// The primary, as no replica would do.
  PrimaryFallback,
};

/// The reason's stable name in the decision log. Thread-safe.
std::string_view toString(RouteReason Reason);

/// What a read needs.
struct ReadRequirements {
  /// What the session has seen.
  TermPosition Seen;
  /// Accepted age; takes the place of Seen.
  std::optional<Duration> MaximumAge;
  /// Members already tried in vain.
  std::vector<UpstreamId> Excluded;
};

struct RoutingOptions {
  /// Own availability zone; its members are preferred.
  ZoneId Zone;
  /// Longest wait at a replica that is about to catch up. A replica whose
  /// observed lag is longer is not waited for.
  Duration MaxReplicaWait = std::chrono::milliseconds(20);
  /// How long an attempt that may be followed by another takes at most.
  Duration AttemptTimeout = std::chrono::milliseconds(500);
  /// A member that failed is left alone this long.
  Duration FailureBackoff = std::chrono::milliseconds(500);
};

/// The member chosen.
struct Route {
  UpstreamId Target;
  Endpoint Where;
  RouteReason Reason = RouteReason::PrimaryFallback;
  /// How long to wait there for the session's entry first.
  Duration WaitTimeout{0};

  bool operator==(const Route &) const = default;
};

/// Upper bound of the age of the data behind a member's status, or nothing if
/// unknown. Only samples that a majority vouches for count, so the bound also
/// holds where the view's primary has been superseded. Thread-safe.
std::optional<Duration> ageBound(const DatabaseView &View,
                                 const MemberStatus &Known, TimePoint Now);

/// Estimate of how far behind the primary a member was when it was last
/// asked; 0 if it lacked nothing known. Thread-safe.
Duration observedLag(const DatabaseView &View, const MemberView &Member);

/// The error for a session whose token names work that a promotion cut off,
/// or nothing. Thread-safe.
std::optional<Error> staleSessionError(const DatabaseView &View,
                                       const TermPosition &Seen);

/// The member for a read, or nothing if none would do. Pure; thread-safe
/// but for Random. Errors: StaleToken if a promotion cut off what the
/// session has seen.
Result<std::optional<Route>> chooseForRead(const DatabaseView &View,
                                           const ReadRequirements &Needs,
                                           const RoutingOptions &Options,
                                           TimePoint Now, RandomSource &Random);

/// Whether a write under way at a member can be given up: another member is
/// primary of a newer term, so this one can have nothing confirmed any more.
/// Thread-safe.
bool isSuperseded(const DatabaseView &View, const UpstreamId &Target);

/// The primary for a write, or nothing while there is none. Thread-safe.
std::optional<Route> chooseForWrite(const DatabaseView &View);

} // namespace turmericpitch
