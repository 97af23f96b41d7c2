// A pool of this instance's connections to one member.
#pragma once

#include "drivers/MemberLink.h"
#include "limits/AccountUse.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/ConnectionAllowance.h"
#include "limits/LinkRetention.h"
#include "routing/Placement.h"

#include <vector>

namespace turmericpitch {

struct MemberLinkPoolOptions {
  /// Time limit for connecting and opening a session, and for a status
  /// query. A healthy member answers within about 15 ms.
  Duration OpenTimeout = std::chrono::milliseconds(400);
  /// Back-off after a member could not be reached. It doubles with each
  /// consecutive failure, up to MaxBackoff.
  Duration InitialBackoff = std::chrono::milliseconds(100);
  Duration MaxBackoff = std::chrono::milliseconds(1000);
  /// Back-off after a replica refused a read because its log had not reached
  /// the required position. During the back-off, placement avoids it for reads
  /// that need that position or a later one. Doubles with each further refusal,
  /// up to MaxLagBackoff.
  Duration InitialLagBackoff = std::chrono::milliseconds(10);
  Duration MaxLagBackoff = std::chrono::milliseconds(320);
  /// A replica counts as lagging repeatedly once its lag back-off has doubled
  /// to this value, i.e. after several refusals in a row.
  Duration RepeatedLagBackoff = std::chrono::milliseconds(40);
  /// A replica no longer counts as lagging repeatedly when its last lag
  /// back-off ended longer ago than this.
  Duration LagMemory = std::chrono::milliseconds(1500);
  LinkRetentionOptions Retention = {};
  /// How long a member's reported number of connections is used.
  Duration ConnectionReportValidity = std::chrono::milliseconds(3000);
  /// From this age a report is renewed to keep links for which the member had
  /// room, if a statement was sent within ReportUse.
  Duration ReportRenewalAge = std::chrono::milliseconds(2000);
  Duration ReportUse = std::chrono::seconds(10);
  /// Typical service time assumed until the first one was observed.
  Duration InitialServiceTime = std::chrono::milliseconds(25);
};

/// Manages the links to one member: opens and reuses them, limits concurrent
/// statements, and tracks whether the member answers. Not thread-safe: use
/// only on the thread of its executor.
class MemberLinkPool : public std::enable_shared_from_this<MemberLinkPool> {
public:
  /// Self: this instance. Use: that of the accounts here, shared by all pools.
  MemberLinkPool(boost::asio::any_io_executor Exec, const InstanceId &Self,
                 RegisteredMember Member, ConnectionAllowanceOptions Allowance,
                 std::shared_ptr<const AccountUse> Use,
                 MemberLinkPoolOptions Options = {});
  ~MemberLinkPool();
  MemberLinkPool(const MemberLinkPool &) = delete;
  MemberLinkPool &operator=(const MemberLinkPool &) = delete;

  /// Applies a changed registry entry. Idle links are closed if the member has
  /// a new address or start time, or is draining; a link in use to an earlier
  /// process is closed when it is released.
  void onEntryChanged(const RegisteredMember &Now);
  void setAllowance(ConnectionAllowanceOptions Allowance);
  /// Sets this instance's use of the member relative to the average over all
  /// instances; see MemberOccupancy.
  void setRelativeUse(double RelativeUse) {
    this->Occupancy.RelativeUse = RelativeUse;
    this->Occupancy.Replica = this->Member.Role != MemberRole::Primary;
  }

  /// Whether the member takes no new statements: it is draining or paused after
  /// a failure.
  [[nodiscard]] bool excluded(TimePoint Now) const {
    return this->Member.Draining || Now < this->BackoffUntil;
  }
  /// The member's current state as input to placement of a statement of
  /// Account. Idle links of other accounts count as available, as one is closed
  /// when a link has to be opened.
  [[nodiscard]] MemberCandidate candidate(const ZoneId &OwnZone,
                                          const ClientAccountId &Account,
                                          TimePoint Now) const;
  /// Takes the idle link of Account that needs the fewest setup steps for the
  /// session's values; nullptr if none is idle. The link is in use until
  /// release().
  std::shared_ptr<MemberLink>
  takeIdle(const ClientAccountId &Account,
           const std::map<std::string, std::string> &Values);
  /// Opens a link for Account. If the allowance is used up, closes the idle
  /// link that is least worth keeping first; see rankIdleConnections().
  /// OnOpened runs asynchronously. If it succeeds, the link is in use until
  /// release().
  std::shared_ptr<MemberLink> openLink(const ClientAccountId &Account,
                                       MemberLink::OpenHandler OnOpened);
  /// Returns a link to the pool. Closes it if it can't be reused: it is not
  /// idle, has a transaction open, leads to an earlier process of the member,
  /// or the member is draining.
  void release(const std::shared_ptr<MemberLink> &Link, TimePoint Now);

  void onStatementSent();
  /// The time a statement took at the member, and the target time derived from
  /// the latency goal of its route.
  struct RunTime {
    Duration Elapsed{0};
    Duration TargetTime{0};
  };
  /// Call when a sent statement has ended. Run is set if the member executed
  /// it.
  void onStatementEnded(const std::optional<RunTime> &Run);
  /// Call when the member has run a statement. Failed: it reported a failure.
  void onRunEnded(bool Failed);
  /// Whether the member has answered any request after Time.
  [[nodiscard]] bool answeredSince(TimePoint Time) const {
    return this->LastAnswerAt > Time;
  }
  /// Whether statements queue at the member.
  [[nodiscard]] bool congested() const { return this->Concurrency.congested(); }
  /// Call when the member has reported that its log has reached Position.
  void onPositionReported(const TermPosition &Position);
  /// Call when the member has served a read that required a minimum position.
  void onCaughtUp() { this->LagBackoff = Duration{0}; }
  /// Call when the member has refused a read because its log had not reached
  /// RequiredPosition.
  void onLagging(const TermPosition &RequiredPosition, TimePoint Now);
  /// Call when the member has refused a statement for lack of capacity.
  void onBusy(TimePoint Now) { this->Concurrency.onRefused(Now); }
  void onAnswered(TimePoint Now);
  /// Call when the member could not be reached or did not answer a request in
  /// time.
  void onUnanswered(TimePoint Now);
  /// Closes all links, including those in use, without calling any handler.
  /// For process shutdown.
  void dropAll();
  /// Closes links that have ended or exceeded their idle timeout. Call
  /// regularly.
  void closeExtraIdle(TimePoint Now);

  [[nodiscard]] const RegisteredMember &member() const { return this->Member; }
  [[nodiscard]] std::uint64_t openedLinkCount() const {
    return this->OpenedCount;
  }
  /// Idle links closed so that one could be opened for another account.
  [[nodiscard]] std::uint64_t evictedLinkCount() const {
    return this->EvictedCount;
  }
  /// Number of open links, including idle ones and those being opened.
  [[nodiscard]] std::size_t openLinkCount() const { return this->OpenCount; }
  [[nodiscard]] std::size_t idleLinkCount() const {
    return this->IdleLinks.size();
  }
  [[nodiscard]] TimePoint backoffUntil() const { return this->BackoffUntil; }
  /// Since when the member has left every pending request unanswered; empty
  /// if none is pending.
  [[nodiscard]] const std::optional<TimePoint> &silentSince() const {
    return this->SilentSince;
  }
  /// Whether the most recent connection attempt was refused.
  [[nodiscard]] bool refusesConnections() const {
    return this->RefusesConnections;
  }
  using ReportHandler =
      std::function<void(std::optional<MemberReport>, TimePoint SentAt)>;
  /// Queries the member's status on an idle link or a new one. OnReport gets
  /// an empty report if no valid answer arrived, and also, before the call
  /// returns, if another query is pending.
  void queryStatus(ReportHandler OnReport);
  /// Like queryStatus(), and demotes the member to a replica if it is the
  /// primary of a term earlier than Newest.
  void stepDown(const Term &Newest, ReportHandler OnReport);
  /// Whether the member recently refused several reads in a row because its
  /// log had not reached the required position.
  [[nodiscard]] bool lagsRepeatedly(TimePoint Now) const;
  [[nodiscard]] Duration typicalServiceTime() const {
    return this->ServiceTime;
  }

private:
  /// Queries the member's number of connections on an idle link, if this
  /// instance's share is small and the newest report is old.
  void renewReport(TimePoint Now);
  void sendQuery(const ProtocolLines &Line, ReportHandler OnReport);
  [[nodiscard]] MemberOccupancy occupancy(TimePoint Now) const;
  void onOpeningEnded(LinkOpening Result);
  void onRequestSent();
  void dropIdle();
  void eraseEndedIdle();
  std::shared_ptr<MemberLink> takeIdleAt(std::size_t Index);
  /// Closes an idle link unless it is worth its place at the member.
  void closeUnlessKept(const std::shared_ptr<MemberLink> &Link, TimePoint Now);
  /// Closes the idle link that is least worth keeping if the allowance is used
  /// up.
  void evictForOpening();
  /// The indices of the idle links, the one to keep longest first.
  [[nodiscard]] std::vector<std::size_t> rankedIdleLinks(TimePoint Now) const;
  void onLinkClosed();

  boost::asio::any_io_executor Exec;
  RegisteredMember Member;
  std::shared_ptr<const AccountUse> Use;
  /// The accounts' statements at this member alone.
  AccountUse UseHere;
  MemberLinkPoolOptions Options;
  ConnectionAllowance Allowance;
  LinkRetention Retention;
  /// What is known of the member's connections; Limit and Instances are those
  /// of Allowance.
  MemberOccupancy Occupancy;
  TimePoint ConnectionsReportedAt;
  TimePoint LastStatementAt;
  ConcurrencyLimit Concurrency;
  /// In the order of their release.
  std::vector<std::shared_ptr<MemberLink>> IdleLinks;
  /// All links that may still be open, for dropAll().
  std::vector<std::weak_ptr<MemberLink>> AllLinks;
  /// Number of links that are idle, in use or being opened.
  std::size_t OpenCount = 0;
  std::size_t OpeningCount = 0;
  std::size_t InFlight = 0;
  std::uint64_t OpenedCount = 0;
  std::uint64_t EvictedCount = 0;
  Duration ServiceTime;
  /// Moving average of the fraction of statements that failed.
  double FailureRate = 0;
  std::optional<TermPosition> Reached;
  Duration LagBackoff{0};
  TimePoint LaggingUntil;
  TermPosition MissingPosition;
  TimePoint BackoffUntil;
  Duration Backoff{0};
  std::optional<TimePoint> SilentSince;
  TimePoint LastAnswerAt;
  std::size_t QueriesInFlight = 0;
  /// Whether a status query is pending.
  bool StatusQueryRunning = false;
  bool RefusesConnections = false;
  BootClock Clock;
};

} // namespace turmericpitch
