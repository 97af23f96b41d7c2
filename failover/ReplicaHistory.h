// Remembers the replicas of a service that have left while commits may stand on
// them alone.
#pragma once

#include "routing/FreshnessTracker.h"
#include "routing/MemberRegistry.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace turmericpitch {

/// A replica's report of its log. Immutable value.
struct LogReport {
  TermPosition Received;
  Duration ApplyDelay{0};
  TimePoint ReceivedAt;

  auto operator<=>(const LogReport &) const = default;
};

/// A process of a replica that is no longer registered, or that may have ended
/// before the one that is. Immutable value.
struct DepartedReplica {
  /// Empty for those that departed before this process first saw the service.
  UpstreamId Id;
  /// Whether the process has certainly ended. If not, it may go on confirming
  /// commits.
  bool Ended = false;
  /// A log that reaches this position holds all commits which the replica can
  /// have confirmed; empty while no such position is known.
  std::optional<TermPosition> CoveredFrom = std::nullopt;
  /// When no process listened at its address, where a member that isn't
  /// registered yet may have taken over. The end of time if a registered member
  /// has the address.
  std::optional<TimePoint> VacantAt = std::nullopt;
  /// Its newest report since the record was closed, if it still runs.
  std::optional<LogReport> Report = std::nullopt;

  auto operator<=>(const DepartedReplica &) const = default;
};

struct ReplicaHistoryOptions {
  /// After a longer gap between two lists, members may have come and gone
  /// unseen. Entries stay for three missed heartbeats at least.
  Duration MaxListingGap = std::chrono::milliseconds(2500);
  /// After this time the entry of a process that has ended is gone or renewed
  /// by the next one: four heartbeats.
  Duration EntryLifetime = std::chrono::milliseconds(4800);
  /// How long a member that this process never knew may run without an entry.
  Duration UnlistedTimeout = std::chrono::seconds(15);
};

/// The replicas of one service on which an acknowledged commit may stand, but
/// which are not registered. One is forgotten only on proof: a position that
/// the primary reported after the process had ended covers what it confirmed,
/// and a replica that drained has handed its log to the member that takes over
/// its address. A missing entry is no proof, as a member that can't reach the
/// store goes on receiving. Pure; not thread-safe.
class ReplicaHistory {
public:
  explicit ReplicaHistory(ReplicaHistoryOptions Options = {})
      : Options(Options) {}

  /// Replaces the registered members of the service by those of a list that was
  /// certainly the newest at ListedAt. OtherAddresses: of the members of other
  /// services in that list.
  void onMembers(const std::vector<RegisteredMember> &Registered,
                 TimePoint ListedAt, TimePoint Now,
                 std::span<const Endpoint> OtherAddresses = {});
  /// A member has replied over a connection that was open from ConnectedAt on,
  /// so the same process has run since. Whether an earlier one ran under its
  /// id isn't known.
  void onConnected(const UpstreamId &Id, TimePoint ConnectedAt);
  /// The address of a departed replica was asked at AskedAt. The answer at
  /// AnsweredAt shows that no process listens there or, if InUse, another
  /// member does.
  void onAddressAnswered(const UpstreamId &Id, bool InUse, TimePoint AskedAt,
                         TimePoint AnsweredAt);
  /// Records a position that the primary of the service has reported.
  void onSample(const PrimarySample &Sample);

  /// The replicas that have departed, in this order; not those that another
  /// member has replaced with their log.
  [[nodiscard]] std::vector<DepartedReplica> departed() const;
  /// The departed replicas whose addresses no registered member has. What runs
  /// there may confirm commits.
  [[nodiscard]] std::vector<RegisteredMember> unlisted() const;
  /// Whether a sample taken now would cover more departures.
  [[nodiscard]] bool needsSample(TimePoint Now) const;
  /// Whether no replica that this process never knew may hold a commit alone.
  [[nodiscard]] bool knowsAll() const;

private:
  struct Departure {
    RegisteredMember Member;
    TimePoint NoticedAt;
    /// When the process had certainly ended.
    std::optional<TimePoint> EndedAt = std::nullopt;
    /// Whether the id belongs to a later process.
    bool StartedAgain = false;
    /// Whether another registered member has the address.
    bool AddressReused = false;
    std::optional<TimePoint> VacantAt = std::nullopt;
    std::optional<TermPosition> CoveredFrom = std::nullopt;
  };

  void addDeparture(Departure Added);
  void updateDepartures(const std::vector<RegisteredMember> &Registered,
                        std::span<const Endpoint> OtherAddresses,
                        TimePoint Now);
  /// Whether what runs at the address isn't registered.
  [[nodiscard]] static bool isUnlisted(const Departure &Each);
  /// When a sample covers the departure; nothing while it may run.
  [[nodiscard]] std::optional<TimePoint>
  coverableFrom(const Departure &Each) const;

  ReplicaHistoryOptions Options;
  std::map<UpstreamId, RegisteredMember> Members;
  /// Since when the connection of each member's newest reply was open.
  std::map<UpstreamId, TimePoint> Connections;
  std::deque<Departure> Departures;
  std::optional<TimePoint> ListedAt;
  /// The first list after the newest gap.
  TimePoint GaplessSince;
};

} // namespace turmericpitch
