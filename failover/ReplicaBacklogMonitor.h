// Decides when an overloaded primary hands over because no replica has applied
// enough of its log to serve reads.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"

#include <optional>
#include <span>

namespace turmericpitch {

struct ReplicaBacklogMonitorOptions {
  /// Apply delay at which a hand-over becomes worthwhile, although it leaves
  /// the service without a primary for one to two seconds.
  Duration MinHandOverBacklog = std::chrono::milliseconds(5000);
  /// How long every replica must have refused reads before the members are
  /// queried.
  Duration QueryDelay = std::chrono::milliseconds(600);
  /// Further delay for each rank among the instances.
  Duration RankDelay = std::chrono::milliseconds(1000);
  /// Minimum time between two queries.
  Duration QueryInterval = std::chrono::milliseconds(500);
  /// The primary counts as overloaded if it has more statements than this
  /// multiple of its slots.
  double OverloadFactor = 1.0;
  /// Maximum number of entries by which a successor's log may trail the
  /// primary's while both grow: what is written in a few hundred milliseconds
  /// under load.
  std::uint64_t MaxReceiveLag = 64;
};

/// The status that a member reported. Immutable value.
struct MemberBacklog {
  UpstreamId Id;
  bool Primary = false;
  TermPosition Received;
  /// Time until all received entries are applied.
  Duration ApplyDelay{0};
  /// Statements that run or are queued at the member.
  std::size_t StatementCount = 0;
  /// Maximum number of statements that the member runs concurrently.
  std::size_t Slots = 1;

  bool operator==(const MemberBacklog &) const = default;
};

/// Monitors one service. A promoted replica applies its backlog at once, and
/// the former primary becomes a replica that has applied its whole log. A
/// hand-over thus leaves two members that can serve reads instead of one.
/// Pure; not thread-safe.
class ReplicaBacklogMonitor {
public:
  explicit ReplicaBacklogMonitor(ReplicaBacklogMonitorOptions Options = {})
      : Options(Options) {}

  /// Returns whether the members should be queried for their backlog now; if
  /// so, counts as a query. ReadsUnavailable: every replica refuses reads
  /// because it lacks entries. Rank: how many instances act before this one.
  bool needsReports(bool ReadsUnavailable, std::size_t Rank, TimePoint Now);
  /// Whether the primary should hand over. Reports: one for each member that
  /// replied. LoosestAge: the largest age of data that a route accepts; a
  /// replica with a longer apply delay serves no reads.
  [[nodiscard]] bool shouldHandOver(std::span<const MemberBacklog> Reports,
                                    Duration LoosestAge) const;

private:
  ReplicaBacklogMonitorOptions Options;
  std::optional<TimePoint> UnavailableSince;
  std::optional<TimePoint> QueriedAt;
};

} // namespace turmericpitch
