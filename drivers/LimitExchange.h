// Exchanges the credit of account limits with other instances and follows the
// owner table in the store.
#pragma once

#include "drivers/PeerTransport.h"
#include "drivers/StoreClient.h"
#include "limits/AccountLimiter.h"
#include "limits/OwnerTableReads.h"
#include "limits/ShareRight.h"
#include "limits/StoreBackoff.h"
#include "membership/InstanceRegistry.h"

#include <boost/asio/steady_timer.hpp>

namespace turmericpitch {

struct LimitExchangeOptions {
  InstanceId Self;
  /// Receives datagrams of other instances. All instances use the same port.
  Endpoint Listen;
  /// Unique for each start of the process.
  std::uint64_t Incarnation = 0;
  ShareRightOptions Right = {};
  OwnerTableReadOptions Reads = {};
  /// How long after the start an instance that no keeper answers keeps callers
  /// away. Longer than the others take to list it.
  Duration ContactTimeout = std::chrono::seconds(6);
  /// The first table is written this long after the start, so that it names
  /// the instances that start together.
  Duration FirstTableDelay = std::chrono::milliseconds(2000);
};

/// Admits the operations of accounts with limits. Sends nothing while no
/// account has a limit. Not thread-safe: use only on the thread of its
/// executor.
class LimitExchange {
public:
  struct Hooks {
    /// Whether this instance writes the owner table.
    std::function<bool()> WritesTable;
  };

  /// Precondition: Store and Instances outlive this object.
  LimitExchange(Executor Exec, LimitExchangeOptions Options, StoreClient &Store,
                const InstanceRegistry &Instances, Hooks Callbacks);

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Deposits credit and follows the owner table until the process ends.
  Awaitable<void> run();
  /// Sets the limits in force.
  void setLimits(std::map<ClientAccountId, OperationLimit> Limits);
  /// Call when the list of instances has changed.
  void onInstancesChanged();
  /// Decides on one operation of an account. OnDecision runs once, possibly
  /// before this returns.
  void admit(const ClientAccountId &Account, OperationGate::Handler OnDecision);
  /// Returns the credit of an operation of which nothing has run.
  void refund(const OperationGrant &Grant);
  /// The gate that asks this exchange. Valid as long as it lives.
  OperationGate gate();
  /// Whether operations of accounts with limits can be admitted: a keeper has
  /// answered, or none did for Options.ContactTimeout.
  [[nodiscard]] bool ready() const;
  /// This instance's present share of all limits.
  [[nodiscard]] double share() const;
  [[nodiscard]] const OwnerTable &owners() const { return this->Right.table(); }
  /// Number of senders of requests that are remembered.
  [[nodiscard]] std::size_t senders() const { return this->Limiter.senders(); }

private:
  void scheduleTick(Duration Delay);
  void tick();
  void send(const std::vector<LimitSend> &Messages);
  void onArrival(const PeerArrival &Arrival);
  /// Counts a message that is not handled, and logs at most one line a second.
  void onDropped(const PeerArrival &Arrival, std::string_view Cause,
                 std::string_view Reason);
  [[nodiscard]] std::optional<OwnerTableNews> news(TimePoint Now) const;
  void onNews(const InstanceId &From, const LimitReply &Reply);
  void deliverOutcomes();
  void decide(LimitDecision Decision, const OperationGate::Handler &OnDecision);
  [[nodiscard]] std::optional<Endpoint> addressOf(const InstanceId &Peer) const;
  [[nodiscard]] bool isTableReadDue(TimePoint Now) const;
  Awaitable<void> readTable();
  Awaitable<void> writeTable(OwnerTable Next);
  Awaitable<void> followTable();
  Awaitable<void> pause(Duration Length);

  Executor Exec;
  LimitExchangeOptions Options;
  StoreClient &Store;
  const InstanceRegistry &Instances;
  Hooks Callbacks;
  PeerTransport Transport;
  AccountLimiter Limiter;
  ShareRight Right;
  bool HasLimits = false;
  bool IsKeeper = false;
  /// When the next tick is due; nothing if none is scheduled.
  std::optional<TimePoint> NextTickAt;
  /// Another instance knows a newer table.
  bool NewerTableKnown = false;
  TimePoint StartedAt;
  std::optional<TimePoint> TableReadAt;
  StoreBackoff ReadBackoff;
  LimitTicket NextTicket = 1;
  std::map<LimitTicket, OperationGate::Handler> Waiting;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer TableTimer;
  std::optional<TimePoint> DropLoggedAt;
  std::uint64_t DropsSinceLogged = 0;
  RandomSource Random;
  BootClock Clock;
};

} // namespace turmericpitch
