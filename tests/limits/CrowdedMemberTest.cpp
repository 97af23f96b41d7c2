// Replays the load of grown chechia scale-2 on one primary: both replicas are
// behind, 34 instances ask for one and a half times what its six slots run,
// and 48 statements may wait there.
#include "core/EventQueue.h"
#include "core/RandomSource.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/UsualWork.h"
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
constexpr std::size_t Room = 48;
constexpr TimePoint LoadBegins(std::chrono::seconds(10));
constexpr TimePoint LoadEnds(std::chrono::seconds(20));

/// One kind of request of the users' sheet.
struct LoadKind {
  double PerSecond = 0;
  Duration Work{0};
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

constexpr std::uint32_t LeastUrgent = 2;
/// How much of the load is asked before it begins to press.
constexpr double CalmShare = 0.4;

class CrowdedMember {
public:
  /// GoalShare: the part of its goal that a statement should be at the
  /// member; 0 leaves the limit to the member's refusals.
  explicit CrowdedMember(int GoalShare)
      : Limits(Instances,
               ConcurrencyLimit({.Most = Slots, .Instances = Instances})),
        InFlight(Instances, 0), Queues(Instances), GoalShare(GoalShare) {
    for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind)
      this->arriveNext(Kind);
    this->lookRegularly();
    this->Events.runUntil(LoadEnds + std::chrono::seconds(4));
  }

  /// Worth of what ended within its goal, of what was asked under load.
  [[nodiscard]] double earned() const { return this->Earned / this->Owed; }
  [[nodiscard]] std::size_t refused() const { return this->Refused; }

private:
  struct Asked {
    std::size_t Kind = 0;
    std::size_t Who = 0;
    TimePoint ArrivedAt;
  };

  void arriveNext(std::size_t Kind) {
    double Rate = Kinds[Kind].PerSecond;
    if (this->Events.now() < LoadBegins)
      Rate *= CalmShare;
    double Seconds = -std::log(1 - this->Random.fraction()) / Rate;
    Duration Wait(static_cast<Duration::rep>(Seconds * 1e6));
    this->Events.scheduleAfter(Wait, [this, Kind] {
      if (this->Events.now() > LoadEnds)
        return;
      this->arrive(Kind);
      this->arriveNext(Kind);
    });
  }

  void arrive(std::size_t Kind) {
    TimePoint Now = this->Events.now();
    Asked New{.Kind = Kind,
              .Who = this->Random.nextBelow(Instances),
              .ArrivedAt = Now};
    if (Now >= LoadBegins)
      this->Owed += Kinds[Kind].Worth;
    this->Queues[New.Who].push(New, {.ArrivedAt = Now,
                                     .Goal = Now + Kinds[Kind].Goal,
                                     .Deadline = Now + Kinds[Kind].Deadline,
                                     .Priority = Kinds[Kind].Priority,
                                     .Work = this->Usual[Kind].value()});
    this->serve(New.Who);
  }

  void lookRegularly() {
    this->Events.scheduleAfter(milliseconds(10), [this] {
      for (std::size_t Who = 0; Who < Instances; ++Who)
        this->serve(Who);
      if (this->Events.now() < LoadEnds + std::chrono::seconds(3))
        this->lookRegularly();
    });
  }

  void serve(std::size_t Who) {
    TimePoint Now = this->Events.now();
    this->Queues[Who].serve(Now, [&](const Asked &Each) {
      if (Now > Each.ArrivedAt + Kinds[Each.Kind].Deadline)
        return true;
      const ConcurrencyLimit &Limit = this->Limits[Who];
      bool Urgent = Kinds[Each.Kind].Priority < LeastUrgent;
      return this->InFlight[Who] <
                 (Urgent ? Limit.allowedUrgent(Now) : Limit.allowed(Now)) &&
             this->send(Each);
    });
  }

  /// Returns whether the member took it.
  bool send(const Asked &Each) {
    TimePoint Now = this->Events.now();
    if (this->Running == Slots && this->Waiting.size() >= Room) {
      ++this->Refused;
      this->Limits[Each.Who].onRefused(Now);
      return false;
    }
    ++this->InFlight[Each.Who];
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
    Duration Work(static_cast<Duration::rep>(
        static_cast<double>(Kinds[Each.Kind].Work.count()) * Spread));
    this->Events.scheduleAfter(Work, [this, Each = Each, SentAt = SentAt] {
      --this->Running;
      this->finish(Each, SentAt);
      this->runNext();
    });
  }

  void finish(const Asked &Each, TimePoint SentAt) {
    TimePoint Now = this->Events.now();
    --this->InFlight[Each.Who];
    Duration Allotted = this->GoalShare == 0
                            ? Duration::max()
                            : Kinds[Each.Kind].Goal / this->GoalShare;
    this->Limits[Each.Who].onRun(Now - SentAt, Allotted, Now);
    this->Usual[Each.Kind].observe(Now - SentAt, Now);
    if (Each.ArrivedAt >= LoadBegins &&
        Now <= Each.ArrivedAt + Kinds[Each.Kind].Goal)
      this->Earned += Kinds[Each.Kind].Worth;
    this->serve(Each.Who);
  }

  struct AtMember {
    Asked What;
    TimePoint SentAt;
  };

  EventQueue Events;
  RandomSource Random{7};
  std::vector<ConcurrencyLimit> Limits;
  std::vector<std::size_t> InFlight;
  std::vector<WaitQueue<Asked>> Queues;
  std::array<UsualWork, Kinds.size()> Usual;
  int GoalShare;
  std::deque<AtMember> Waiting;
  std::size_t Running = 0;
  std::size_t Refused = 0;
  double Owed = 0;
  double Earned = 0;
};

// Of the work asked for, two thirds fit. Before, the wait at the member used
// up most goals: 26% of the worth ended in time.
TEST(CrowdedMember, WaitingInTheInstancesServesMoreInTime) {
  CrowdedMember Before(0);
  CrowdedMember After(5);
  EXPECT_LT(Before.earned(), 0.35);
  EXPECT_GT(After.earned(), 0.55);
  EXPECT_LT(After.refused(), Before.refused());
}

TEST(CrowdedMember, TheShareOfTheGoalIsNotCritical) {
  for (int GoalShare : {3, 4, 6, 8})
    EXPECT_GT(CrowdedMember(GoalShare).earned(), 0.5) << GoalShare;
}

} // namespace
} // namespace turmericpitch
