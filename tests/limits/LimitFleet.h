// A fleet of account limiters in virtual time, over a network that loses,
// repeats and delays messages.
#pragma once

#include "core/EventQueue.h"
#include "core/RandomSource.h"
#include "limits/AccountLimiter.h"

#include <memory>

namespace turmericpitch {

/// The condition that a fleet leaves out, to show that it is needed.
enum class LimitFault {
  None,
  /// A repeated request looks like a new one.
  CountsRepeatedDeposits,
  /// A deposit looks as if it had been created when it arrives.
  TrustsLateDeposits,
  /// Each keeper counts a deposit for all accounts.
  CountsForAllAccounts,
  /// A grant looks as if it had been requested when it arrives.
  CountsValidityFromReceipt,
  /// Credit is used for longer than its age.
  KeepsExpiredCredit,
};

/// What happens to a fleet at random instances and for random times.
enum class Disturbance {
  Pause,
  PauseHalf,
  Restart,
  /// A partition into two sides.
  Cut,
  Heal,
  /// All messages are held for a while, for less than it takes to be found
  /// unreachable.
  Hold,
  /// Demand begins, ends.
  Demand,
  Idle,
};

struct LimitFleetOptions {
  std::size_t Instances = 5;
  std::uint64_t Seed = 1;
  double MinBurst = 5;
  /// Probabilities for one message.
  double Loss = 0;
  double Repeat = 0;
  double LongDelay = 0;
  Duration LongestDelay = std::chrono::seconds(2);
  /// Probability that an admitted operation isn't run and its credit returned.
  double Refund = 0;
  LimitFault Fault = LimitFault::None;
};

/// Operations that arrive at random times.
struct LimitDemand {
  ClientAccountId Account;
  double PerSecond = 0;
  /// The instances at which they arrive.
  std::vector<std::size_t> Instances;
};

/// Instances are in three zones by turns; the first of each zone is a keeper.
/// Not thread-safe.
class LimitFleet {
public:
  explicit LimitFleet(LimitFleetOptions Options);

  void setLimits(std::map<ClientAccountId, OperationLimit> Limits);
  /// Replaces all demand.
  void setDemand(std::vector<LimitDemand> Demand);
  void run(Duration Length);
  void pause(std::size_t Index, Duration Length);
  void restart(std::size_t Index);
  /// Messages that are sent in the next Length arrive at its end.
  void holdMessages(Duration Length);
  /// Messages pass only between instances of the same side; all are of side 0
  /// at first.
  void setSide(std::size_t Index, int Side) { this->Peers[Index].Side = Side; }
  /// Demand is what a Disturbance::Demand sets.
  void disturb(Disturbance What, const std::vector<LimitDemand> &Demand);

  /// Operations of the account that have run.
  [[nodiscard]] std::size_t ran(const ClientAccountId &Account) const;
  [[nodiscard]] std::size_t refused(const ClientAccountId &Account) const;
  /// Operations that were admitted without waiting.
  [[nodiscard]] std::size_t admittedAtOnce() const { return this->AtOnce; }
  [[nodiscard]] std::size_t messages() const { return this->Messages; }
  [[nodiscard]] Duration longestWait() const { return this->LongestWait; }
  /// The largest number of operations beyond rate x W that ran in any window W.
  [[nodiscard]] double largestBurst(const ClientAccountId &Account,
                                    double PerSecond) const;

private:
  struct Peer {
    std::unique_ptr<AccountLimiter> Limiter;
    std::uint64_t Incarnation = 0;
    /// Of this instance's clock from the fleet's time.
    Duration ClockOffset{0};
    TimePoint PausedUntil;
    TimePoint TickAt;
    int Side = 0;
    /// Arrival times of waiting operations, by ticket.
    std::map<LimitTicket, TimePoint> Waiting;
  };

  [[nodiscard]] static InstanceId idOf(std::size_t Index);
  [[nodiscard]] TimePoint clockOf(const Peer &Of) const;
  void start(std::size_t Index);
  /// Runs Work now, or once the instance is no longer paused.
  void onInstance(std::size_t Index, EventQueue::Task Work);
  void tick(std::size_t Index);
  void scheduleTick(std::size_t Index);
  void send(std::size_t From, std::vector<LimitSend> Sends);
  void deliver(std::size_t From, std::size_t To, LimitMessage Message,
               Duration InTransit, bool Repeated);
  /// What the fault makes of a message on its way.
  void applyFault(std::size_t To, LimitMessage &Message, Duration InTransit,
                  bool Repeated);
  void scheduleArrival(std::size_t DemandIndex, std::uint64_t OfEpoch);
  void arrive(std::size_t Index, const ClientAccountId &Account);
  void settle(std::size_t Index, const LimitDecision &Decision,
              const ClientAccountId &Account);
  void collectOutcomes(std::size_t Index);

  LimitFleetOptions Options;
  RandomSource Random;
  EventQueue Queue;
  std::vector<Peer> Peers;
  std::map<ClientAccountId, OperationLimit> Limits;
  std::vector<LimitDemand> Demand;
  std::uint64_t DemandEpoch = 0;
  std::map<LimitTicket, ClientAccountId> Tickets;
  LimitTicket LastTicket = 0;
  std::map<ClientAccountId, std::vector<TimePoint>> Ran;
  std::map<ClientAccountId, std::size_t> Refused;
  std::size_t AtOnce = 0;
  std::size_t Messages = 0;
  Duration LongestWait{0};
  TimePoint HeldUntil;
};

} // namespace turmericpitch
