// Sends the statements of client sessions to members.
#pragma once

#include "configuration/RouteTable.h"
#include "drivers/MemberLinkPool.h"
#include "drivers/StatementCall.h"
#include "failover/PrimaryLease.h"
#include "limits/OutageWaitPolicy.h"
#include "limits/QueueMonitor.h"
#include "limits/ServiceTimeEstimate.h"
#include "routing/FailedReadPolicy.h"
#include "routing/FreshnessTracker.h"
#include "routing/HedgePolicy.h"
#include "routing/MemberRegistry.h"
#include "routing/SampleSchedule.h"

#include <map>

namespace turmericpitch {

struct StatementDispatcherOptions {
  InstanceId Self;
  ZoneId Zone;
  PlacementOptions Placement = {};
  /// Maximum number of attempts for one statement.
  std::uint32_t MaxAttempts = 6;
  /// How long the acknowledgement of a write is held back for the primary's
  /// lease to be renewed after it has expired.
  Duration ConfirmationTimeout = std::chrono::milliseconds(1500);
  OutageWaitOptions OutageWait = {};
  HedgePolicyOptions Hedge = {};
  /// Divisor: the time at the member should not exceed the latency goal
  /// divided by this. The rest is left for queueing, network time and further
  /// statements of the operation. With a fifth, most statements met their goal
  /// when the load of an overloaded primary was replayed.
  int GoalShare = 5;
  /// Retry delay given to a client whose statement was refused.
  Duration RetryAfter = std::chrono::milliseconds(100);
  /// How often the queues are served while no reply arrives.
  Duration WakeInterval = std::chrono::milliseconds(10);
  /// First back-off after a member refused a transaction's statement as busy;
  /// about the service time of one short statement.
  Duration InitialBusyBackoff = std::chrono::milliseconds(15);
  /// How long a primary is not used after it replied that it is no longer the
  /// primary. The record of its successor arrives within about a second.
  Duration NotPrimaryBackoff = std::chrono::milliseconds(50);
  SampleScheduleOptions Samples = {};
};

/// Routes that share a service time estimate: an instance sees too few
/// statements of a single route to estimate its service time quickly.
struct StatementClass {
  Consistency Level = Consistency::Strong;
  std::uint32_t Priority = 0;
  Duration Goal{0};

  auto operator<=>(const StatementClass &) const = default;
};

/// The dispatcher's state of one service.
struct ServiceState {
  ServiceId Id;
  std::map<UpstreamId, std::shared_ptr<MemberLinkPool>> Pools;
  WaitQueue<SharedCall> Queue;
  QueueMonitor Monitor;
  /// Whether the queue stood when it was last looked at.
  bool QueueStands = false;
  OutageMonitor Outage;
  FreshnessTracker Freshness;
  /// When the primary's status was last queried for a sample.
  TimePoint SampleRequestedAt;
  /// End of the back-off after the primary replied that it is not primary.
  TimePoint NotPrimaryUntil;
  RetryBudget HedgeBudget;
  /// For reads that failed at a member.
  RetryBudget FailedReadBudget;
  /// The largest priority number among the service's routes. Routes with a
  /// smaller number are more urgent.
  std::uint32_t LowestPriority = 0;
  /// The limits on the age of data among the service's routes.
  std::optional<AcceptedAges> Ages;
  /// Whether the configuration is known.
  bool Configured = false;
  /// Replicas that must have received a commit before it is acknowledged. Until
  /// the configuration is known, one is assumed.
  std::uint32_t SynchronousReplicas = 1;
  /// A position that is known to be acknowledged: the primary's log had reached
  /// it before a write was sent that has been acknowledged.
  std::optional<EpochPosition> Acknowledged;
  /// Whether the queue is being served; prevents recursion.
  bool Serving = false;
};

/// Queues statements, places them at members, retries and hedges them, and
/// delivers the replies. Acknowledges writes only while it knows that the
/// primary's lease is valid. Not thread-safe: use only on the thread of its
/// executor.
class StatementDispatcher {
public:
  /// The current lease of a service's primary, which may have expired; empty
  /// if there is none.
  using LeaseLookup =
      std::function<std::optional<PrimaryLease>(const ServiceId &)>;

  /// The expected time until a service has a primary again; empty if unknown.
  using RecoveryTimeLookup =
      std::function<std::optional<Duration>(const ServiceId &)>;

  StatementDispatcher(boost::asio::any_io_executor Exec,
                      StatementDispatcherOptions Options, LeaseLookup LeaseOf,
                      RecoveryTimeLookup RecoveryTimeOf);

  ~StatementDispatcher();
  StatementDispatcher(const StatementDispatcher &) = delete;
  StatementDispatcher &operator=(const StatementDispatcher &) = delete;

  /// Sends a statement to a member. OnReply runs once, possibly before this
  /// returns.
  void submit(const SharedCall &Call);
  /// Drops a statement whose client has disconnected: it is not executed if
  /// still queued, and OnReply doesn't run.
  void abandon(const SharedCall &Call);
  /// Rolls back the session's transaction at its member if one is open, and
  /// releases the link.
  void rollBack(const std::shared_ptr<SessionContext> &Session);

  /// Applies changes of the member registry and the routes, and the number of
  /// instances.
  void onRegistry(const RegistryChange &Change, const RouteController &Routes,
                  std::size_t Instances);
  /// Re-evaluates held acknowledgements and queued statements after leases
  /// have changed.
  void onLeasesChanged();
  /// The newest sample of the log position of an epoch's primary; empty if
  /// there is none.
  [[nodiscard]] std::optional<PrimarySample>
  newestSample(const ServiceId &Service, std::uint64_t Epoch) const;
  /// Records a sample that another instance took at an epoch's primary while
  /// it held the lease.
  void onSample(const ServiceId &Service, std::uint64_t Epoch,
                const PrimarySample &Sample);
  /// Closes idle links, queries samples and re-evaluates held
  /// acknowledgements. Call about ten times a second. SamplesForOthers: whether
  /// other instances receive this instance's samples.
  void maintain(bool SamplesForOthers);

  [[nodiscard]] const std::map<ServiceId, ServiceState> &services() const {
    return this->Services;
  }
  /// Links currently open, idle links among them, and links opened and evicted
  /// since the start.
  struct LinkCounts {
    std::size_t Open = 0;
    std::size_t Idle = 0;
    std::uint64_t Opened = 0;
    std::uint64_t Evicted = 0;
  };
  [[nodiscard]] LinkCounts links() const;
  /// Whether all available replicas of the service lag repeatedly, so that
  /// none serves reads that require a minimum position.
  [[nodiscard]] bool allReplicasLag(const ServiceId &Service,
                                    const UpstreamId &Primary) const;

private:
  /// The reply to a write, held back until the primary's lease is renewed.
  struct HeldReply {
    SharedCall Call;
    StatementReply Reply;
    std::uint64_t Epoch = 0;
    TimePoint ExpiresAt;
  };

  /// Chooses the replica for which the service's links are kept.
  void preferReplica(ServiceState &State);
  void enqueue(const SharedCall &Call);
  void pushToQueue(ServiceState &State, const SharedCall &Call);
  void serve(ServiceState &State);
  void shedUnservable(ServiceState &State);
  StartAttempt tryPlace(ServiceState &State, const SharedCall &Call);
  /// Decides on a statement that no member can run.
  StartAttempt waitOrRefuse(ServiceState &State, const SharedCall &Call);
  void startAtMember(const SharedCall &Call,
                     const std::shared_ptr<MemberLinkPool> &Pool,
                     const std::optional<PrimaryLease> &Lease);
  void startOnLink(const SharedCall &Call);
  void advance(const SharedCall &Call);
  void sendStep(const SharedCall &Call, const SessionSetupStep &Step);
  void sendBegin(const SharedCall &Call);
  /// Refuses a statement that can't be encoded for a member.
  void refuseUnsendable(const SharedCall &Call, const Error &Why);
  void sendStatement(const SharedCall &Call);
  void onReply(const SharedCall &Call, Outcome<StatementReply> Reply);
  void startHedgeTimer(const SharedCall &Call);
  void hedge(const SharedCall &Call);
  /// Handles the reply of an attempt that is not the current one.
  void onOutstandingReply(const SharedCall &Call,
                          const StatementAttempt &Attempt,
                          Outcome<StatementReply> Reply);
  /// Ends the search for another member while outstanding attempts run; it
  /// starts again after the hedge delay.
  void awaitOutstanding(const SharedCall &Call);
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
  /// Records what the acknowledgement of a write proves.
  void recordAcknowledged(const StatementCall &Call);
  void endTransaction(const SharedCall &Call, bool Failed);
  [[nodiscard]] bool holdsLease(const ServiceId &Service,
                                std::uint64_t Epoch) const;
  /// Whether a reply proves that a read, or the begin of a transaction, ran
  /// before its member may have been replaced as primary. A request can be held
  /// up on its way for longer than a lease lasts. Epoch: that of the primary,
  /// or 0 for a replica, which proves this by its position.
  [[nodiscard]] bool ranUnderLease(const ServiceId &Service,
                                   std::uint64_t Epoch) const;
  /// Whether another primary is known to have replaced the one of the call's
  /// transaction, or its lease is ending.
  [[nodiscard]] bool isBeingReplaced(const SharedCall &Call) const;
  void recordReply(const SharedCall &Call, const StatementAttempt &Attempt,
                   const StatementReply &Reply);
  /// Records a member's failure in the state of the member and its service.
  void recordFailure(const SharedCall &Call, const StatementAttempt &Attempt,
                     ReplyError Code);
  void closeUnanswered(const SharedCall &Call);
  void requestSample(ServiceState &State, bool SamplesForOthers, TimePoint Now);
  void scheduleWake();

  boost::asio::any_io_executor Exec;
  StatementDispatcherOptions Options;
  LeaseLookup LeaseOf;
  RecoveryTimeLookup RecoveryTimeOf;
  std::map<ServiceId, ServiceState> Services;
  std::map<StatementClass, ServiceTimeEstimate> ServiceTimes;
  /// Of all services together.
  std::shared_ptr<AccountUse> Use = std::make_shared<AccountUse>();
  std::vector<HeldReply> HeldReplies;
  boost::asio::steady_timer WakeTimer;
  bool WakeScheduled = false;
  BootClock Clock;
};

} // namespace turmericpitch
