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
  PrimaryLast,
};

/// The reason's stable name in the decision log. Thread-safe.
std::string_view toString(RouteReason Reason);

/// What a read needs.
struct ReadNeeds {
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
  /// Longest wait at a replica that is about to catch up.
  Duration ReplicaWait = std::chrono::milliseconds(20);
  /// A member that failed is left alone this long.
  Duration FailurePause = std::chrono::milliseconds(500);
};

/// The member chosen.
struct Route {
  UpstreamId Target;
  Endpoint Where;
  RouteReason Reason = RouteReason::PrimaryLast;
  /// How long to wait there for the session's entry first.
  Duration WaitLimit{0};

  bool operator==(const Route &) const = default;
};

/// Upper bound of the age of a member's data, or nothing if unknown.
/// Thread-safe.
std::optional<Duration> ageBound(const DatabaseView &View,
                                 const MemberView &Member, TimePoint Now);

/// The member for a read, or nothing if none would do. Pure; thread-safe
/// but for Random. Errors: StaleToken if a promotion cut off what the
/// session has seen.
Result<std::optional<Route>> chooseForRead(const DatabaseView &View,
                                           const ReadNeeds &Needs,
                                           const RoutingOptions &Options,
                                           TimePoint Now, RandomSource &Random);

/// The primary for a write, or nothing while there is none. Thread-safe.
std::optional<Route> chooseForWrite(const DatabaseView &View);

} // namespace turmericpitch
