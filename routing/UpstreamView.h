// What an instance knows of the members of each database.
#pragma once

#include "configuration/Objects.h"
#include "core/Member.h"
#include "core/Sharded.h"
#include "core/Time.h"

#include <memory>

namespace turmericpitch {

/// What is known of one member.
struct MemberView {
  DatabaseMember Configured;
  /// The newest status; nothing before the first answer.
  std::optional<MemberStatus> Last;
  /// When the question was asked that Last answers.
  TimePoint AskedAt;
  /// Failures since the last answer.
  std::uint32_t FailuresInRow = 0;
  TimePoint LastFailureAt;

  bool operator==(const MemberView &) const = default;
};

/// Where a primary's log stood at a moment. A member that has applied this
/// much is no older than the moment, provided that no newer primary had
/// acknowledged anything by then: a majority must be seen, no earlier than the
/// moment, to accept no newer term.
struct PositionSample {
  TimePoint TakenAt;
  /// The primary's term.
  Term PrimaryTerm;
  TermPosition Reached;
  /// The members seen to accept no newer term since At, a bit for each by
  /// its index in the view.
  std::uint64_t ConfirmedBy = 0;

  auto operator<=>(const PositionSample &) const = default;
};

/// What is known of one database. Immutable value.
struct DatabaseView {
  DatabaseId Id;
  std::vector<MemberView> Members;
  /// Oldest first; at most MaximumSamples.
  std::vector<PositionSample> Samples;

  bool operator==(const DatabaseView &) const = default;

  /// The highest term that any member accepts. Thread-safe.
  [[nodiscard]] Term newestTerm() const;
  /// The primary of the newest term, or nullptr while there is none.
  /// Thread-safe; lives as long as the view.
  [[nodiscard]] const MemberView *primary() const;
  [[nodiscard]] const MemberView *member(const UpstreamId &Id) const;
  /// How many members make a majority.
  [[nodiscard]] std::size_t majority() const;
  /// Whether a majority vouches for the sample. Thread-safe.
  [[nodiscard]] bool isProven(const PositionSample &Sample) const;
};

using SharedDatabaseView = std::shared_ptr<const DatabaseView>;

/// Keeps a view for each database. Thread-safe; views are replaced whole.
class UpstreamController {
public:
  static constexpr std::size_t MaxSamples = 64;
  static constexpr Duration MinSampleInterval = std::chrono::milliseconds(50);
  /// Members of one database whose word on samples is counted.
  static constexpr std::size_t MaxConfirmingMembers = 64;

  /// Takes over what is configured; what was learnt of members that stay is
  /// kept.
  void onConfigured(const Database &Configured);
  void onRemoved(const DatabaseId &Id);
  /// Takes in a member's status. AskedAt: when the question was sent.
  void onStatus(const DatabaseId &Id, const MemberStatus &Status,
                TimePoint AskedAt);
  /// Notes that a member did not answer.
  void onFailure(const DatabaseId &Id, const UpstreamId &Member, TimePoint Now);

  /// The present view, or nullptr for an unknown database.
  [[nodiscard]] SharedDatabaseView view(const DatabaseId &Id) const;

private:
  Sharded<DatabaseId, SharedDatabaseView> Views;
};

} // namespace turmericpitch
