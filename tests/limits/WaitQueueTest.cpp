#include "limits/WaitQueue.h"
#include "core/EventQueue.h"
#include "core/RandomSource.h"

#include <cmath>
#include <gtest/gtest.h>
#include <set>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

SchedulingTerms terms(int ArrivedMs, int GoalMs, int DeadlineMs,
                      std::uint32_t Priority = 1, int ServiceTimeMs = 20) {
  return {.ArrivedAt = TimePoint(milliseconds(ArrivedMs)),
          .Goal = TimePoint(milliseconds(GoalMs)),
          .Deadline = TimePoint(milliseconds(DeadlineMs)),
          .Priority = Priority,
          .ServiceTime = milliseconds(ServiceTimeMs)};
}

std::vector<int> servedOrder(WaitQueue<int> &Queue, int NowMs) {
  std::vector<int> Order;
  Queue.serve(TimePoint(milliseconds(NowMs)), [&](int Each) {
    Order.push_back(Each);
    return StartAttempt::Done;
  });
  return Order;
}

TEST(WaitQueue, ServesTheNearestGoalFirst) {
  WaitQueue<int> Queue;
  Queue.push(1, terms(0, 400, 1000));
  Queue.push(2, terms(0, 200, 1000));
  EXPECT_EQ(servedOrder(Queue, 10), (std::vector<int>{2, 1}));
  EXPECT_TRUE(Queue.empty());
}

TEST(WaitQueue, ServesStatementsThatWillMissTheirGoalLast) {
  WaitQueue<int> Queue;
  Queue.push(1, terms(0, 200, 1000));
  Queue.push(2, terms(50, 400, 1000));
  // At 190 ms, statement 1 would end at 210 ms.
  EXPECT_EQ(servedOrder(Queue, 190), (std::vector<int>{2, 1}));
}

TEST(WaitQueue, OrdersByPriorityThenByServiceTime) {
  WaitQueue<int> Queue;
  Queue.push(1, terms(0, 300, 1000, 2, 64));
  Queue.push(2, terms(0, 400, 1000, 2, 16));
  Queue.push(3, terms(0, 500, 1000, 1, 64));
  EXPECT_EQ(servedOrder(Queue, 0), (std::vector<int>{3, 2, 1}));
}

TEST(WaitQueue, ServesLatestArrivalFirstAmongThoseMissingTheirGoal) {
  WaitQueue<int> Queue;
  Queue.push(1, terms(0, 100, 1000));
  Queue.push(2, terms(50, 100, 1050));
  EXPECT_EQ(servedOrder(Queue, 500), (std::vector<int>{2, 1}));
}

TEST(WaitQueue, KeepsStatementsThatAreNotTaken) {
  WaitQueue<int> Queue;
  Queue.push(1, terms(0, 100, 1000));
  Queue.push(2, terms(0, 200, 1000));
  Queue.serve(TimePoint{}, [](int Each) {
    return Each == 1 ? StartAttempt::Done : StartAttempt::MembersBusy;
  });
  EXPECT_EQ(Queue.size(), 1U);
}

TEST(WaitQueue, ShedsOnlyStatementsThatCannotMeetTheirDeadline) {
  WaitQueue<int> Queue;
  for (int Index = 0; Index < 10; ++Index)
    Queue.push(Index, terms(0, 500, 100));
  // One statement starts each 20 ms and takes 20 ms, so five fit into 100 ms.
  auto Expired = Queue.shed(
      TimePoint{}, {.Step = milliseconds(20), .Reserve = milliseconds(20)});
  EXPECT_EQ(Expired.size(), 5U);
  EXPECT_EQ(Queue.size(), 5U);
  EXPECT_TRUE(Queue
                  .shed(TimePoint{},
                        {.Step = milliseconds(20), .Reserve = milliseconds(20)})
                  .empty());
}

/// Replays the load test "sabedge scale-2" from 5 to 12 s: both replicas of one
/// database lag too far, and its primary with 3 slots is offered the load
/// of 4.5 slots.
struct OverloadReplay {
  struct Kind {
    int ServiceTimeMs;
    int GoalMs;
    int DeadlineMs;
    std::uint32_t Priority;
    int PerSecond;
    int Worth;
  };
  static constexpr std::array<Kind, 3> Kinds{Kind{8, 200, 1000, 1, 28, 2},
                                             Kind{40, 600, 2000, 2, 28, 1},
                                             Kind{24, 400, 1000, 2, 130, 2}};
  static constexpr std::size_t Slots = 3;

  struct Waiting {
    std::size_t Kind;
    TimePoint Goal;
  };

  explicit OverloadReplay(bool Ordered) : Ordered(Ordered) {}

  /// Runs the replay and returns the fraction of the offered worth that was
  /// served within its goal.
  double run() {
    for (std::size_t Index = 0; Index < Kinds.size(); ++Index)
      this->arrive(Index);
    this->Events.runUntil(TimePoint(std::chrono::seconds(8)));
    return static_cast<double>(this->ServedWorth) /
           static_cast<double>(this->OfferedWorth);
  }

  void arrive(std::size_t Index) {
    const Kind &K = Kinds[Index];
    TimePoint Now = this->Events.now();
    this->OfferedWorth += K.Worth;
    SchedulingTerms Terms{
        .ArrivedAt = Now,
        .Goal = Now + milliseconds(K.GoalMs),
        .Deadline = Now + milliseconds(K.DeadlineMs),
        .Priority = this->Ordered ? K.Priority : 0,
        .ServiceTime = milliseconds(this->Ordered ? K.ServiceTimeMs : 0)};
    // Without ordering, statements are served in the order of arrival.
    if (!this->Ordered)
      Terms.Goal = Now + std::chrono::hours(1);
    this->Queue.push({.Kind = Index, .Goal = Now + milliseconds(K.GoalMs)},
                     Terms);
    this->fill();
    double Pause = -std::log(1 - this->Random.fraction()) * 1e6 / K.PerSecond;
    this->Events.scheduleAfter(Duration(static_cast<Duration::rep>(Pause)),
                               [this, Index] { this->arrive(Index); });
  }

  void fill() {
    this->Queue.shed(this->Events.now(),
                     {.Step = milliseconds(8), .Reserve = milliseconds(24)});
    this->Queue.serve(this->Events.now(), [this](const Waiting &Each) {
      if (this->BusySlots == Slots)
        return StartAttempt::MembersBusy;
      ++this->BusySlots;
      this->Events.scheduleAfter(
          milliseconds(Kinds[Each.Kind].ServiceTimeMs), [this, Each] {
            --this->BusySlots;
            if (this->Events.now() <= Each.Goal)
              this->ServedWorth += Kinds[Each.Kind].Worth;
            this->fill();
          });
      return StartAttempt::Done;
    });
  }

  bool Ordered;
  EventQueue Events;
  RandomSource Random{1};
  WaitQueue<Waiting> Queue;
  std::size_t BusySlots = 0;
  int OfferedWorth = 0;
  int ServedWorth = 0;
};

TEST(WaitQueue, OrderingServesMoreWorthUnderOverload) {
  double InOrderOfArrival = OverloadReplay(false).run();
  double Ordered = OverloadReplay(true).run();
  // Bookings and confirmations, 92% of the worth, would need 3.3 slots; the
  // primary has 3.
  EXPECT_GT(Ordered, 0.75);
  EXPECT_GT(Ordered, InOrderOfArrival + 0.25);
}

} // namespace
} // namespace turmericpitch
