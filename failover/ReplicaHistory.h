// Remembers the replicas of a service that have left while commits may stand on
// them alone.
#pragma once

#include "routing/FreshnessTracker.h"
#include "routing/MemberRegistry.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

/// A replica that is no longer registered. Immutable value.
struct DepartedReplica {
  /// Empty for those that departed before this process first saw the service.
  UpstreamId Id;
  /// A log that reaches this position holds all commits which the replica can
  /// have confirmed; empty while no such position is known.
  std::optional<TermPosition> CoveredFrom = std::nullopt;

  auto operator<=>(const DepartedReplica &) const = default;
};

struct ReplicaHistoryOptions {
  /// After a longer gap between two lists, members may have come and gone
  /// unseen. Entries stay for three missed heartbeats at least.
  Duration MaxListingGap = std::chrono::milliseconds(2500);
};

/// The replicas of one service that have departed: ended, or started again
/// without the log of the earlier process. A position that the primary reported
/// afterwards covers what they can have confirmed. A replica that drained has
/// handed its log to the member that takes over its address. Pure; not
/// thread-safe.
class ReplicaHistory {
public:
  explicit ReplicaHistory(ReplicaHistoryOptions Options = {})
      : Options(Options) {}

  /// Replaces the registered members of the service by those of a list that was
  /// certainly the newest at ListedAt.
  void onMembers(const std::vector<RegisteredMember> &Registered,
                 TimePoint ListedAt, TimePoint Now);
  /// Records a position that the primary of the service has reported.
  void onSample(const PrimarySample &Sample);
  /// The replicas that have departed, in this order; not those that another
  /// member has replaced with their log.
  [[nodiscard]] std::vector<DepartedReplica> departed() const;

private:
  struct Departure {
    RegisteredMember Member;
    TimePoint NoticedAt;
    std::optional<TermPosition> CoveredFrom;
  };

  void addDeparture(const RegisteredMember &Member, TimePoint Now);

  ReplicaHistoryOptions Options;
  std::map<UpstreamId, RegisteredMember> Members;
  std::deque<Departure> Departures;
  std::optional<TimePoint> ListedAt;
};

} // namespace turmericpitch
