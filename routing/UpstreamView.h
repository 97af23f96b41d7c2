// An instance's view of the members of each database.
#pragma once

#include "configuration/Objects.h"
#include "core/Member.h"
#include "core/Sharded.h"
#include "core/Time.h"

#include <memory>

namespace turmericpitch {

/// State of one member as last observed.
struct MemberView {
  DatabaseMember Configured;
  /// The newest status; empty before the first answer.
  std::optional<MemberStatus> Last;
  /// When the request was sent that Last answers.
  TimePoint AskedAt;
  /// Consecutive failures since the last answer.
  std::uint32_t FailuresInRow = 0;
  TimePoint LastFailureAt;

  bool operator==(const MemberView &) const = default;
};

/// Position of a primary's log at a point in time. The data of a member that
/// has applied this position is no older than that time, provided that no newer
/// primary had acknowledged anything by then. To prove this, a majority of
/// members must be observed, at that time or later, to accept no newer term.
struct PositionSample {
  TimePoint TakenAt;
  /// The primary's term.
  Term PrimaryTerm;
  TermPosition Reached;
  /// Members observed to accept no newer term at TakenAt or later: a bit for
  /// each, by its index in the view.
  std::uint64_t ConfirmedBy = 0;

  auto operator<=>(const PositionSample &) const = default;
};

/// State of one database as last observed. Immutable value.
struct DatabaseView {
  DatabaseId Id;
  std::vector<MemberView> Members;
  /// Oldest first; at most UpstreamController::MaxSamples.
  std::vector<PositionSample> Samples;

  bool operator==(const DatabaseView &) const = default;

  /// The highest term that any member accepts. Thread-safe.
  [[nodiscard]] Term newestTerm() const;
  /// The primary of the newest term, or nullptr if there is none. Valid as long
  /// as the view. Thread-safe.
  [[nodiscard]] const MemberView *primary() const;
  /// The member with this id, or nullptr. Valid as long as the view.
  /// Thread-safe.
  [[nodiscard]] const MemberView *member(const UpstreamId &Id) const;
  /// Number of members that form a majority.
  [[nodiscard]] std::size_t majority() const;
  /// Whether a majority confirms the sample. Thread-safe.
  [[nodiscard]] bool isProven(const PositionSample &Sample) const;
};

using SharedDatabaseView = std::shared_ptr<const DatabaseView>;

/// Keeps a view for each database. Views are immutable and replaced as a whole.
/// Thread-safe.
class UpstreamController {
public:
  static constexpr std::size_t MaxSamples = 64;
  static constexpr Duration MinSampleInterval = std::chrono::milliseconds(50);
  /// Only the first members of a database, up to this number, can confirm
  /// samples.
  static constexpr std::size_t MaxConfirmingMembers = 64;

  /// Applies a database's configuration. The observed state of members that
  /// remain unchanged is kept.
  void onConfigured(const Database &Configured);
  void onRemoved(const DatabaseId &Id);
  /// Records a member's status. AskedAt: when the request was sent.
  void onStatus(const DatabaseId &Id, const MemberStatus &Status,
                TimePoint AskedAt);
  /// Records that a member did not answer.
  void onFailure(const DatabaseId &Id, const UpstreamId &Member, TimePoint Now);

  /// The current view, or nullptr for an unknown database.
  [[nodiscard]] SharedDatabaseView view(const DatabaseId &Id) const;

private:
  Sharded<DatabaseId, SharedDatabaseView> Views;
};

} // namespace turmericpitch
