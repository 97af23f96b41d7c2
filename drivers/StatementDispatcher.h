// Carries statements of sessions to members.
#pragma once

#include "configuration/RouteTable.h"
#include "drivers/MemberLinkPool.h"
#include "drivers/StatementCall.h"
#include "failover/PrimaryLease.h"
#include "limits/OutageWaitPolicy.h"
#include "limits/RetryBudget.h"
#include "limits/ServiceTimeEstimate.h"
#include "routing/FreshnessTracker.h"
#include "routing/MemberRegistry.h"

#include <map>

namespace turmericpitch {

struct StatementDispatcherOptions {
  ZoneId Zone;
  PlacementOptions Placement = {};
  /// Attempts at members for one statement.
  std::uint32_t MaxAttempts = 6;
  /// How long the answer to a write waits for the right to the primary to be
  /// renewed once it has run out.
  Duration ConfirmationTimeout = std::chrono::milliseconds(1500);
  OutageWaitOptions OutageWait = {};
  /// A read that its member leaves unanswered for this many times the typical
  /// time, and for at least LeastHedgeDelay, is sent to another member too.
  int HedgeFactor = 4;
  Duration MinHedgeDelay = std::chrono::milliseconds(120);
  /// A statement should be at its member for this part of its operation's
  /// goal at the most; the rest is for waiting here, for the way and for
  /// further statements. A fifth served most in time when the load of an
  /// overloaded primary was replayed.
  int GoalShare = 5;
  /// What a refused caller is told to wait.
  Duration RetryAfter = std::chrono::milliseconds(100);
  /// How often waiting statements are looked at while no reply comes in.
  Duration WakeInterval = std::chrono::milliseconds(10);
  /// After a member refused a transaction's statement for lack of capacity;
  /// about the work of one short statement.
  Duration InitialBusyBackoff = std::chrono::milliseconds(15);
  /// After a primary answered that it leads no more, it is tried again after
  /// this; the record of its successor comes within about a second.
  Duration NotPrimaryBackoff = std::chrono::milliseconds(50);
  /// A primary that was not heard for this long is asked for its position,
  /// so that replicas can go on serving reads of a stated age.
  Duration SampleInterval = std::chrono::milliseconds(500);
};

/// Routes whose statements are taken to be alike: an instance sees too few of
/// one route to know their work soon.
struct StatementClass {
  Consistency Level = Consistency::Strong;
  std::uint32_t Priority = 0;
  Duration Goal{0};

  auto operator<=>(const StatementClass &) const = default;
};

/// One service as the dispatcher keeps it.
struct ServiceState {
  ServiceId Id;
  std::map<UpstreamId, std::shared_ptr<MemberLinkPool>> Pools;
  WaitQueue<SharedCall> Queue;
  FreshnessTracker Freshness;
  TimePoint SampleAskedAt;
  /// The primary answered that it leads no more.
  TimePoint NotPrimaryUntil;
  RetryBudget Hedges;
  /// Routes with a smaller number are more urgent than others of the service.
  std::uint32_t LowestPriority = 0;
  bool Serving = false;
};

/// Belongs to one thread's executor.
class StatementDispatcher {
public:
  /// The right to a service's primary at present; nothing while there is
  /// none.
  using LeaseLookup =
      std::function<std::optional<PrimaryLease>(const ServiceId &)>;

  /// In how long a service is expected to have a primary again; nothing if
  /// that isn't known.
  using RecoveryTimeLookup =
      std::function<std::optional<Duration>(const ServiceId &)>;

  StatementDispatcher(boost::asio::any_io_executor Exec,
                      StatementDispatcherOptions Options, LeaseLookup LeaseOf,
                      RecoveryTimeLookup RecoveryTimeOf);

  ~StatementDispatcher();
  StatementDispatcher(const StatementDispatcher &) = delete;
  StatementDispatcher &operator=(const StatementDispatcher &) = delete;

  /// Runs a statement that a member must run; OnReply runs once, maybe at
  /// once.
  void submit(const SharedCall &Call);
  /// The caller has gone: the statement is not run if it waits, and no reply
  /// is given.
  void abandon(const SharedCall &Call);
  /// Rolls back the session's transaction at its member, if one is open.
  void rollBack(const std::shared_ptr<SessionContext> &Session);

  /// Takes over what the members' list and the routes say.
  void onRegistry(const RegistryChange &Change, const RouteController &Routes,
                  std::size_t Instances);
  /// Leases have changed: what waits for one is looked at again.
  void onLeasesChanged();
  /// The newest sample of the primary of a reign; nothing if there is none.
  [[nodiscard]] std::optional<PrimarySample>
  newestSample(const ServiceId &Service, std::uint64_t Epoch) const;
  /// Another instance saw this at the primary of a reign while it held the
  /// right to use it.
  void onSample(const ServiceId &Service, std::uint64_t Epoch,
                const PrimarySample &Seen);
  /// Closes idle links and asks for samples; call about ten times a second.
  void maintain();

  [[nodiscard]] const std::map<ServiceId, ServiceState> &services() const {
    return this->Services;
  }
  /// Links to members at present and since the start.
  struct LinkCounts {
    std::size_t Held = 0;
    std::size_t Idle = 0;
    std::uint64_t Opened = 0;
  };
  [[nodiscard]] LinkCounts links() const;
  /// Whether every replica of the service that could be asked refuses reads
  /// for lack of entries.
  [[nodiscard]] bool allReplicasLag(const ServiceId &Service,
                                    const UpstreamId &Primary) const;

private:
  struct HeldReply {
    SharedCall Call;
    StatementReply Reply;
    std::uint64_t Epoch = 0;
    TimePoint ExpiresAt;
  };

  void enqueue(const SharedCall &Call);
  void serve(ServiceState &State);
  void shedUnservable(ServiceState &State);
  bool tryPlace(ServiceState &State, const SharedCall &Call);
  void startAtMember(const SharedCall &Call,
                     const std::shared_ptr<MemberLinkPool> &Pool,
                     const std::optional<PrimaryLease> &Lease);
  void startOnLink(const SharedCall &Call);
  void advance(const SharedCall &Call);
  void sendStep(const SharedCall &Call, const SessionSetupStep &Step);
  void sendBegin(const SharedCall &Call);
  void sendStatement(const SharedCall &Call);
  void onReply(const SharedCall &Call, Outcome<StatementReply> Reply);
  void startHedgeTimer(const SharedCall &Call);
  void hedge(const SharedCall &Call);
  void onLateReply(const SharedCall &Call,
                   const std::shared_ptr<MemberLink> &Link,
                   const std::shared_ptr<MemberLinkPool> &Pool,
                   Outcome<StatementReply> Reply);
  void onFailure(const SharedCall &Call, const ReplyFailure &Failure,
                 StatementReply Reply);
  void onLinkLost(const SharedCall &Call);
  void retry(const SharedCall &Call, bool ExcludeMember,
             std::string_view Cause);
  void releaseLink(const SharedCall &Call);
  void onDeadline(const SharedCall &Call);
  void refuse(const SharedCall &Call, ReplyError Code, std::string_view Reason,
              Duration RetryAfter);
  void deliver(const SharedCall &Call, StatementReply Reply);
  void confirmOrHold(const SharedCall &Call, StatementReply Reply);
  void endTransaction(const SharedCall &Call, bool Failed);
  [[nodiscard]] bool holdsLease(const ServiceId &Service,
                                std::uint64_t Epoch) const;
  /// Whether the primary of the call's transaction is known to be on its way
  /// out.
  [[nodiscard]] bool isBeingReplaced(const SharedCall &Call) const;
  void recordReply(const SharedCall &Call, const StatementReply &Reply);
  void requestSample(ServiceState &State, TimePoint Now);
  void scheduleWake();

  boost::asio::any_io_executor Exec;
  StatementDispatcherOptions Options;
  LeaseLookup LeaseOf;
  RecoveryTimeLookup RecoveryTimeOf;
  std::map<ServiceId, ServiceState> Services;
  std::map<StatementClass, ServiceTimeEstimate> ServiceTimes;
  std::vector<HeldReply> HeldReplies;
  PreparedStatementNames Names;
  boost::asio::steady_timer WakeTimer;
  bool WakeScheduled = false;
  BootClock Clock;
};

} // namespace turmericpitch
