// Chooses the member for a statement of a session.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"

#include <cstddef>
#include <optional>
#include <span>

namespace turmericpitch {

/// A member as placement sees it at one moment. Immutable value.
struct MemberCandidate {
  UpstreamId Id;
  /// The primary of the present reign, and the right to use it holds.
  bool UsablePrimary = false;
  /// Any primary, usable or not; never serves as a replica.
  bool Primary = false;
  bool SameZone = false;
  /// Draining, paused after a failure, or tried in vain already.
  bool Excluded = false;
  /// Statements of this instance that are there now.
  std::size_t InFlight = 0;
  /// How many may be, and how many if the newest is urgent.
  std::size_t MaxInFlight = 1;
  std::size_t MaxInFlightUrgent = 1;
  /// How many this instance has there on average while work waits for it;
  /// below one where it pauses between statements.
  double Share = 1;
  /// Typical time of a statement there, as observed.
  Duration TypicalServiceTime{0};
  /// The furthest position that its log is known to reach.
  std::optional<TermPosition> Reached = std::nullopt;
  /// Its log fell short of ShortOf lately; until then it is only asked for
  /// positions before that, or that it is known to reach.
  TimePoint LaggingUntil = {};
  TermPosition MissingPosition = {};
};

/// What a statement needs of the member.
struct PlacementNeed {
  /// Writes, strong reads and transactions that may write.
  bool Primary = true;
  /// For a replica: what its log must reach; nothing if no position proves
  /// enough, and then only the primary will do.
  std::optional<TermPosition> AtLeast = std::nullopt;
  /// Goes before other work of the service.
  bool Urgent = false;
};

struct PlacementOptions {
  /// A member in another zone is taken as slower by this: two crossings of
  /// about 1.4 ms each, bytes between zones that are paid for, and a link
  /// that counts against the member's limit. Less than half a statement.
  Duration CrossZoneLatency = std::chrono::milliseconds(12);
  /// A read at the primary is taken as this much dearer, as writes have no
  /// other place.
  double PrimaryReadCostFactor = 1.6;
};

enum class PlacementStatus {
  /// Candidates[Index] takes it.
  Place,
  /// A member that could take it is full.
  Wait,
  /// No member can take it at present.
  NoMember,
};

struct Placement {
  PlacementStatus Status = PlacementStatus::NoMember;
  std::size_t Index = 0;
};

/// The member with the least expected time. Pure; thread-safe.
Placement placeStatement(std::span<const MemberCandidate> Candidates,
                         const PlacementNeed &Need,
                         const PlacementOptions &Options, TimePoint Now);

} // namespace turmericpitch
