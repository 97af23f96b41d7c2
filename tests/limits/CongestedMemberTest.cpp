// Guards against statements missing their goals because they wait at an
// overloaded member. Replays the load of the load test "grown chechia scale-2"
// on one primary: both replicas lag, 34 instances offer one and a half times
// what its six slots can run, and 48 statements may wait at the member.
#include "core/EventQueue.h"
#include "core/RandomSource.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/ServiceTimeEstimate.h"
#include "limits/WaitQueue.h"

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t Instances = 34;
constexpr std::size_t Slots = 6;
constexpr std::size_t QueueCapacity = 48;
constexpr TimePoint LoadStart(std::chrono::seconds(10));
constexpr TimePoint LoadEnd(std::chrono::seconds(20));

/// One kind of request of the users' workload specification.
struct LoadKind {
  double PerSecond = 0;
  Duration ServiceTime{0};
  Duration Goal{0};
  Duration Deadline{0};
  std::uint32_t Priority = 1;
  double Worth = 0;
};

constexpr std::array Kinds{
    LoadKind{41, milliseconds(11), milliseconds(200), milliseconds(1000), 1, 2},
    LoadKind{41, milliseconds(55), milliseconds(800), milliseconds(3000), 2, 1},
    LoadKind{191, milliseconds(33), milliseconds(400), milliseconds(1000), 2,
             2}};

constexpr std::uint32_t LowestPriority = 2;
/// Fraction of the load offered before LoadStart.
constexpr double WarmUpShare = 0.4;

class CongestedMember {
public:
  /// The target time of a statement at the member is its goal divided by
  /// GoalShare. 0 sets no target time, so that only refusals lower the limit.
  explicit CongestedMember(int GoalShare)
      : Limits(Instances,
               ConcurrencyLimit({.Max = Slots, .Instances = Instances})),
        InFlight(Instances, 0), Queues(Instances), GoalShare(GoalShare) {
    for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind)
      this->arriveNext(Kind);
    this->pollQueues();
    this->Events.runUntil(LoadEnd + std::chrono::seconds(4));
  }

  /// Worth of the statements that ended within their goal, as a fraction of
  /// the worth offered since LoadStart.
  [[nodiscard]] double servedWorth() const {
    return this->ServedWorth / this->OfferedWorth;
  }
  [[nodiscard]] std::size_t refused() const { return this->Refused; }

private:
  struct Request {
    std::size_t Kind = 0;
    std::size_t Instance = 0;
    TimePoint ArrivedAt;
  };

  void arriveNext(std::size_t Kind) {
    double Rate = Kinds[Kind].PerSecond;
    if (this->Events.now() < LoadStart)
      Rate *= WarmUpShare;
    double Seconds = -std::log(1 - this->Random.fraction()) / Rate;
    Duration Wait(static_cast<Duration::rep>(Seconds * 1e6));
    this->Events.scheduleAfter(Wait, [this, Kind] {
      if (this->Events.now() > LoadEnd)
        return;
      this->arrive(Kind);
      this->arriveNext(Kind);
    });
  }

  void arrive(std::size_t Kind) {
    TimePoint Now = this->Events.now();
    Request New{.Kind = Kind,
                .Instance = this->Random.nextBelow(Instances),
                .ArrivedAt = Now};
    if (Now >= LoadStart)
      this->OfferedWorth += Kinds[Kind].Worth;
    this->Queues[New.Instance].push(
        New, {.ArrivedAt = Now,
              .Goal = Now + Kinds[Kind].Goal,
              .Deadline = Now + Kinds[Kind].Deadline,
              .Priority = Kinds[Kind].Priority,
              .ServiceTime = this->ServiceTimes[Kind].value()});
    this->serve(New.Instance);
  }

  void pollQueues() {
    this->Events.scheduleAfter(milliseconds(10), [this] {
      for (std::size_t Instance = 0; Instance < Instances; ++Instance)
        this->serve(Instance);
      if (this->Events.now() < LoadEnd + std::chrono::seconds(3))
        this->pollQueues();
    });
  }

  void serve(std::size_t Instance) {
    TimePoint Now = this->Events.now();
    this->Queues[Instance].serve(Now, [&](const Request &Each) {
      if (Now > Each.ArrivedAt + Kinds[Each.Kind].Deadline)
        return StartAttempt::Done;
      const ConcurrencyLimit &Limit = this->Limits[Instance];
      bool Urgent = Kinds[Each.Kind].Priority < LowestPriority;
      bool Sent = this->InFlight[Instance] < (Urgent ? Limit.allowedUrgent(Now)
                                                     : Limit.allowed(Now)) &&
                  this->send(Each);
      return Sent ? StartAttempt::Done : StartAttempt::MembersBusy;
    });
  }

  /// Returns whether the member accepted the statement.
  bool send(const Request &Each) {
    TimePoint Now = this->Events.now();
    if (this->Running == Slots && this->Waiting.size() >= QueueCapacity) {
      ++this->Refused;
      this->Limits[Each.Instance].onRefused(Now);
      return false;
    }
    ++this->InFlight[Each.Instance];
    this->Waiting.push_back({Each, Now});
    this->runNext();
    return true;
  }

  void runNext() {
    if (this->Running == Slots || this->Waiting.empty())
      return;
    auto [Each, SentAt] = this->Waiting.front();
    this->Waiting.pop_front();
    ++this->Running;
    double Spread = 0.5 + this->Random.fraction();
    Duration ServiceTime(static_cast<Duration::rep>(
        static_cast<double>(Kinds[Each.Kind].ServiceTime.count()) * Spread));
    this->Events.scheduleAfter(ServiceTime,
                               [this, Each = Each, SentAt = SentAt] {
                                 --this->Running;
                                 this->finish(Each, SentAt);
                                 this->runNext();
                               });
  }

  void finish(const Request &Each, TimePoint SentAt) {
    TimePoint Now = this->Events.now();
    --this->InFlight[Each.Instance];
    Duration TargetTime = this->GoalShare == 0
                              ? Duration::max()
                              : Kinds[Each.Kind].Goal / this->GoalShare;
    this->Limits[Each.Instance].onCompleted(Now - SentAt, TargetTime, Now);
    this->ServiceTimes[Each.Kind].observe(Now - SentAt, Now);
    if (Each.ArrivedAt >= LoadStart &&
        Now <= Each.ArrivedAt + Kinds[Each.Kind].Goal)
      this->ServedWorth += Kinds[Each.Kind].Worth;
    this->serve(Each.Instance);
  }

  struct AtMember {
    Request What;
    TimePoint SentAt;
  };

  EventQueue Events;
  RandomSource Random{7};
  std::vector<ConcurrencyLimit> Limits;
  std::vector<std::size_t> InFlight;
  std::vector<WaitQueue<Request>> Queues;
  std::array<ServiceTimeEstimate, Kinds.size()> ServiceTimes;
  int GoalShare;
  std::deque<AtMember> Waiting;
  std::size_t Running = 0;
  std::size_t Refused = 0;
  double OfferedWorth = 0;
  double ServedWorth = 0;
};

// Two thirds of the offered load fit. Without a target time, the wait at the
// member uses up most goals: 26% of the worth ended in time.
TEST(CongestedMember, TargetTimeServesMoreWithinGoals) {
  CongestedMember WithoutTarget(0);
  CongestedMember WithTarget(5);
  EXPECT_LT(WithoutTarget.servedWorth(), 0.35);
  EXPECT_GT(WithTarget.servedWorth(), 0.55);
  EXPECT_LT(WithTarget.refused(), WithoutTarget.refused());
}

TEST(CongestedMember, IsInsensitiveToTheTargetTime) {
  for (int GoalShare : {3, 4, 6, 8})
    EXPECT_GT(CongestedMember(GoalShare).servedWorth(), 0.5) << GoalShare;
}

} // namespace
} // namespace turmericpitch
