// Decides which replica succeeds a primary.
#pragma once

#include "failover/PrimaryMonitor.h"
#include "failover/PrimaryRecord.h"
#include "failover/PromotionOrders.h"
#include "failover/ReplicaHistory.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace turmericpitch {

struct SuccessorOptions {
  /// How long a promotion waits for a replica that stays and has all commits
  /// that are known to have been acknowledged.
  Duration CatchUpTimeout = std::chrono::milliseconds(1000);
  /// How long after the closing of the record a promotion waits for members
  /// that may hold the only copy of an acknowledged commit. Longer than users
  /// state that a member is down; after it, service goes before durability.
  Duration HolderTimeout = std::chrono::seconds(15);
  /// A replica whose newest report is older is not promoted, as it may have
  /// ended.
  Duration ReportValidity = std::chrono::milliseconds(1000);
};

/// A member that could become primary. Immutable value.
struct SuccessorCandidate {
  UpstreamId Id;
  /// The last entry in the member's log.
  TermPosition Received;
  /// Time until all received entries are applied.
  Duration ApplyDelay{0};
  /// Whether it is the former primary.
  bool Former = false;
};

/// The candidate whose log is furthest ahead; among equals another one than the
/// former primary, whose promotion shows no new term if it still leads, and the
/// one with the longest apply delay, as a promotion ends it. Nothing without
/// candidates.
/// Pure; thread-safe.
std::optional<UpstreamId>
chooseSuccessor(std::span<const SuccessorCandidate> Candidates);

/// A registered replica as a promoter knows it. Immutable value.
struct ReplicaState {
  UpstreamId Id;
  bool Draining = false;
  /// Whether it refused a promotion in this failover.
  bool Refused = false;
  /// Its newest report since the record was closed; empty without one.
  std::optional<LogReport> Report = std::nullopt;
  /// Whether that report says that it is primary.
  bool Leads = false;
};

/// What a promoter knows in its search for a successor. Immutable value.
struct SuccessorSearch {
  FailoverReason Reason = FailoverReason::Lost;
  /// Number of replicas that must have received a commit before it is
  /// acknowledged.
  std::uint32_t SynchronousReplicas = 0;
  /// All registered members but the former primary, draining ones included. A
  /// lost primary that has reported is among them.
  std::vector<ReplicaState> Replicas = {};
  std::vector<DepartedReplica> Departed = {};
  /// The end of the former primary's log, asked for after the record was
  /// closed; empty if it did not reply.
  std::optional<TermPosition> PrimaryPosition = std::nullopt;
  /// A position that the primary had reached when it was last sampled.
  std::optional<TermPosition> Sampled = std::nullopt;
  /// A position that is known to have been acknowledged under the former
  /// primary.
  std::optional<TermPosition> Acknowledged = std::nullopt;
  /// Where the newest terms began; see PrimaryRecord.
  std::vector<TermStart> TermStarts = {};
  /// The orders that were given since the record was closed.
  PromotionOrders Orders = PromotionOrders();
  UpstreamId FormerPrimary = {};
  /// Its state; empty if it isn't registered or hasn't reported.
  std::optional<ReplicaState> Former = std::nullopt;
  /// What the members that have reported know of terms.
  std::vector<TermReport> Terms = {};
  /// When this search began, and when the record's closing was first seen.
  TimePoint BeganAt;
  TimePoint ClosedAt;
  /// When the registered members were certainly all that are; nothing if they
  /// never were.
  std::optional<TimePoint> ListedAt = std::nullopt;
};

enum class SuccessorAction : std::uint8_t {
  /// Ask the members again.
  Wait,
  Promote,
  /// The former primary remains primary.
  KeepPrimary,
};

/// Immutable value.
struct SuccessorDecision {
  SuccessorAction Action = SuccessorAction::Wait;
  /// The replica to promote.
  UpstreamId Target = {};
  /// The members whose logs are unknown and may hold acknowledged commits that
  /// no known log holds. An empty id stands for members that this process never
  /// knew.
  std::vector<UpstreamId> Missing = {};

  bool operator==(const SuccessorDecision &) const = default;
};

/// What a search makes of a member.
enum class MemberStanding : std::uint8_t {
  /// It may be promoted.
  Candidate,
  /// It has not reported its log.
  Silent,
  /// Its report is too old to promote it.
  Outdated,
  /// It refused the promotion.
  Refused,
  /// Its log does not reach the required position.
  Behind,
  Draining,
  /// Its log ends with entries that an earlier promotion has discarded.
  Discarded,
  /// It departed, and may have confirmed commits that no known log holds.
  Departed,
  /// It departed, and the furthest known log holds all that it confirmed.
  Covered,
  /// It is not registered, but has reported its log.
  Unlisted,
};

/// The standing's stable name in the decision log. Thread-safe.
std::string_view toString(MemberStanding Standing);

/// Why a search promotes a member or not. Immutable value.
struct MemberAssessment {
  UpstreamId Id;
  MemberStanding Standing = MemberStanding::Silent;

  bool operator==(const MemberAssessment &) const = default;
};

/// What a search requires and makes of each member. Immutable value.
struct SearchAssessment {
  /// The position that a successor must reach; empty if none is known.
  std::optional<TermPosition> Required = std::nullopt;
  /// The registered replicas, then those that have departed.
  std::vector<MemberAssessment> Members = {};

  bool operator==(const SearchAssessment &) const = default;
};

/// Explains a search for the decision log. Pure; thread-safe.
SearchAssessment assessSearch(const SuccessorOptions &Options,
                              const SuccessorSearch &Search, TimePoint Now);

/// Whether the list of members has to be read again before a replica can be
/// promoted. Pure; thread-safe.
bool needsMemberList(const SuccessorSearch &Search);

/// Decides by one rule, for lost, draining and overloaded primaries.
///
/// An acknowledged commit stands on the former primary and on
/// SynchronousReplicas of the replicas, draining ones and ones that have
/// departed since included. So each set of members whose logs are known meets
/// all sets that an acknowledged commit may stand on if it contains the former
/// primary, or all but SynchronousReplicas - 1 of the replicas. Until then the
/// search waits, HolderTimeout at most. With the former primary's log known, a
/// replica must reach its end, else the end of the furthest known log, and in
/// any case what is known to have been acknowledged. The list of replicas must
/// be newer than their reports, as one that has just joined may hold a commit.
///
/// A replica that has departed counts until it is proven that it holds nothing
/// that the known logs lack; see ReplicaHistory. One that runs without being
/// registered reports its log like the others, but can't succeed, as no
/// statement could reach it.
///
/// A lost primary that still leads is kept, and so is one that was to hand over
/// when nobody can succeed it, but only by PromotionOrders::mayKeep(). Else one
/// that was to hand over is ordered to lead again: if another member leads a
/// newer term unseen, that begins a still newer one. A member is ordered only
/// once no earlier order that names another one can still take effect.
///
/// A log whose end an earlier promotion has discarded isn't compared by its
/// length, as callers have read a state without that end since. It succeeds
/// only if no other log is known for HolderTimeout.
///
/// Replicas that are draining succeed a lost primary only after CatchUpTimeout,
/// and never one that still runs. Without synchronous replicas, CatchUpTimeout
/// bounds the wait for what the primary had when last sampled. Pure;
/// thread-safe.
SuccessorDecision decideSuccessor(const SuccessorOptions &Options,
                                  const SuccessorSearch &Search, TimePoint Now);

} // namespace turmericpitch
