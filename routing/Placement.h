// Chooses the member for a statement of a session.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"

#include <cstddef>
#include <optional>
#include <span>

namespace turmericpitch {

/// Snapshot of a member's state for placement. Immutable value.
struct MemberCandidate {
  UpstreamId Id;
  /// Whether it is the primary of the current epoch with a valid lease.
  bool UsablePrimary = false;
  /// Whether it is a primary, usable or not; a primary never serves as a
  /// replica.
  bool Primary = false;
  bool SameZone = false;
  /// Whether it is draining, paused after a failure, or has already failed this
  /// statement.
  bool Excluded = false;
  /// Number of this instance's statements in flight at the member.
  std::size_t InFlight = 0;
  /// Upper bound of InFlight.
  std::size_t MaxInFlight = 1;
  /// The same for placing an urgent statement.
  std::size_t MaxInFlightUrgent = 1;
  /// Average number of statements in flight while statements wait for the
  /// member; below one if statements are paced.
  double Share = 1;
  /// Whether this instance keeps connections there. Others are used if the
  /// preferred ones are slower.
  bool Preferred = true;
  /// Whether a statement can start without opening a connection first.
  bool HasIdleConnection = true;
  /// Observed typical time of a statement at the member.
  Duration TypicalServiceTime{0};
  /// Fraction of the statements that failed at the member recently.
  double FailureRate = 0;
  /// The highest position that its log is known to reach.
  std::optional<TermPosition> Reached = std::nullopt;
  /// Its log recently did not reach MissingPosition. Until this time it is only
  /// used for lower positions or those that it is known to reach.
  TimePoint LaggingUntil = {};
  TermPosition MissingPosition = {};
};

/// Requirements of a statement on the member.
struct PlacementRequirements {
  /// Whether only the primary may serve it: writes, strong reads and
  /// transactions that may write.
  bool Primary = true;
  /// The position that a replica's log must reach. Empty if no position proves
  /// sufficient freshness; then only the primary may serve it.
  std::optional<TermPosition> MinPosition = std::nullopt;
  /// Whether it takes precedence over other statements of the service.
  bool Urgent = false;
};

struct PlacementOptions {
  /// Cost added to the expected time of a member in another zone. Covers two
  /// crossings of about 1.4 ms each, charged traffic between zones, and a
  /// connection that counts against the member's limit. Less than half of a
  /// statement's time.
  Duration CrossZonePenalty = std::chrono::milliseconds(12);
  /// Cost of opening a connection: it occupies one of the member's slots for
  /// about 12 ms, beside two round trips.
  Duration ConnectPenalty = std::chrono::milliseconds(15);
  /// Cost added to opening a connection to a replica that isn't preferred,
  /// where the connection is closed soon after. As large as ConnectPenalty, as
  /// the next statement opens one again.
  Duration NotPreferredPenalty = std::chrono::milliseconds(15);
  /// Factor on the expected time of a read at the primary, because writes can
  /// run nowhere else. Reads go to a replica even if only the primary has an
  /// idle connection.
  double PrimaryReadCostFactor = 1.6;
  /// Lower bound of the assumed fraction of statements that succeed at a
  /// member, so that a member at which all failed is still tried when the
  /// others are loaded.
  double MinSuccessRate = 0.1;
};

enum class PlacementStatus {
  /// Run it at Candidates[Index].
  Place,
  /// Wait: every suitable member is at its limit.
  Wait,
  /// No member is suitable at present.
  NoMember,
};

struct Placement {
  PlacementStatus Status = PlacementStatus::NoMember;
  std::size_t Index = 0;
};

/// Chooses the member with the lowest expected time. Pure; thread-safe.
Placement placeStatement(std::span<const MemberCandidate> Candidates,
                         const PlacementRequirements &Requirements,
                         const PlacementOptions &Options, TimePoint Now);

} // namespace turmericpitch
