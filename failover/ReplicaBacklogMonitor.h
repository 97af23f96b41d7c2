// Decides when a primary hands over because its replicas lag too far behind
// to serve reads.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"

#include <optional>
#include <span>

namespace turmericpitch {

struct ReplicaBacklogMonitorOptions {
  /// A replica that needs longer to apply what it has received serves hardly
  /// any read: the users' routes accept data of 1.5 and 2.5 s.
  Duration MaxServingBacklog = std::chrono::milliseconds(2500);
  /// Only a backlog that lasts longer is worth a hand-over, which leaves the
  /// service without a primary for one to two seconds.
  Duration MinHandOverBacklog = std::chrono::milliseconds(5000);
  /// How long every replica must have refused reads before members are asked,
  /// and how much longer for each rank among the instances.
  Duration QueryDelay = std::chrono::milliseconds(600);
  Duration RankDelay = std::chrono::milliseconds(1000);
  /// Between two questions.
  Duration QueryInterval = std::chrono::milliseconds(500);
  /// Statements at the primary, as a multiple of what it runs at once, from
  /// which on it counts as overloaded.
  double OverloadFactor = 1.0;
  /// How far the log of a successor may trail the primary's while both take
  /// entries: those of some hundred milliseconds under load.
  std::uint64_t MaxReceiveLag = 64;
};

/// What a member says of itself. Immutable value.
struct MemberBacklog {
  UpstreamId Id;
  bool Primary = false;
  TermPosition Received;
  /// Until everything received is applied.
  Duration ApplyDelay{0};
  /// Statements there now, waiting ones included.
  std::size_t StatementCount = 0;
  /// Statements that it runs at once.
  std::size_t Slots = 1;

  bool operator==(const MemberBacklog &) const = default;
};

/// Watches one service. A promoted replica leads with all that it received,
/// applied or not, and the former primary becomes a replica whose log is
/// applied; so a hand-over turns one member of use into two. Pure; not
/// thread-safe.
class ReplicaBacklogMonitor {
public:
  explicit ReplicaBacklogMonitor(ReplicaBacklogMonitorOptions Options = {})
      : Options(Options) {}

  /// Whether the members should be asked how far behind they are.
  /// ReadsUnavailable: every replica refuses reads for lack of entries. Rank:
  /// how many instances come before the own one.
  bool needsReports(bool ReadsUnavailable, std::size_t Rank, TimePoint Now);
  /// Whether the primary should hand over, by the reports of all members that
  /// answered.
  [[nodiscard]] bool
  shouldHandOver(std::span<const MemberBacklog> Reports) const;

private:
  ReplicaBacklogMonitorOptions Options;
  std::optional<TimePoint> UnavailableSince;
  std::optional<TimePoint> QueriedAt;
};

} // namespace turmericpitch
