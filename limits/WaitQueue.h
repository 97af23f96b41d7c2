// Priority queue of statements that wait for a member.
#pragma once

#include "core/Time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

/// Scheduling parameters of a waiting statement. Immutable value.
struct SchedulingTerms {
  TimePoint ArrivedAt;
  /// Latency goal: the time by which the caller wants the complete operation to
  /// end.
  TimePoint Goal;
  /// Time at which the statement is abandoned.
  TimePoint Deadline;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Typical time that statements of this kind take at a member.
  Duration ServiceTime{0};

  bool operator==(const SchedulingTerms &) const = default;
};

/// The result of an attempt to start a waiting statement.
enum class StartAttempt {
  /// It was started or refused, and leaves the queue.
  Done,
  /// Every member that could run it is at its limit.
  MembersBusy,
  /// No member can run it, whatever the load; OutageWaitPolicy decides how long
  /// it waits.
  NoMember,
};

/// What is expected of a queue. Immutable value.
struct QueueOutlook {
  /// Time between the starts of two statements.
  Duration Step{0};
  /// Time that a statement takes once it has started.
  Duration Reserve{0};
  /// Whether more arrives than can be served; see QueueMonitor.
  bool Stands = false;
  /// Divisor: in a queue that stands, a statement waits for at most its latency
  /// goal divided by this. A caller that is refused then has time to be served
  /// at its next attempt, and members stay busy all the same.
  int StandingGoalShare = 5;

  /// When the caller of a refused statement should return: once the waiting
  /// statements and those refused before it could have started, so that callers
  /// return one after the other, the first one first.
  [[nodiscard]] Duration retryAfter(std::size_t Waiting,
                                    std::size_t RefusedBefore) const {
    return this->Step * static_cast<Duration::rep>(Waiting + RefusedBefore + 1);
  }

  bool operator==(const QueueOutlook &) const = default;
};

/// Waiting statements in the order that serves the most callers in time. First
/// come those that can still meet their goal: by priority, then by shorter
/// service time, then by nearest goal. Then come those that will miss their
/// goal: by priority, then the latest arrival first, because it has the most
/// time left until its deadline. Not thread-safe.
template <typename Item> class WaitQueue {
public:
  void push(Item Waiting, const SchedulingTerms &Terms) {
    this->Waiting.push_back({.Value = std::move(Waiting), .Terms = Terms});
  }

  /// Passes each waiting statement to Start in serving order, which returns a
  /// StartAttempt.
  template <typename Callable> void serve(TimePoint Now, Callable &&Start) {
    this->order(Now);
    std::vector<Entry> Kept;
    std::vector<Entry> Candidates = std::move(this->Waiting);
    this->Waiting.clear();
    for (Entry &Each : Candidates) {
      StartAttempt Result = Start(Each.Value);
      if (Result == StartAttempt::Done)
        continue;
      Each.AwaitsMember = Result == StartAttempt::NoMember;
      Kept.push_back(std::move(Each));
    }
    // Start may have pushed further statements.
    for (Entry &Pushed : this->Waiting)
      Kept.push_back(std::move(Pushed));
    this->Waiting = std::move(Kept);
  }

  /// Whether a statement waits for a busy member.
  [[nodiscard]] bool anyBlocked() const {
    return std::any_of(this->Waiting.begin(), this->Waiting.end(),
                       [](const Entry &Each) { return !Each.AwaitsMember; });
  }
  /// Mean service time of the waiting statements; 0 if none waits.
  [[nodiscard]] Duration meanServiceTime() const {
    Duration Sum{0};
    for (const Entry &Each : this->Waiting)
      Sum += Each.Terms.ServiceTime;
    return this->Waiting.empty()
               ? Sum
               : Sum / static_cast<Duration::rep>(this->Waiting.size());
  }
  /// Whether a statement that waits for a busy member can still meet its goal.
  [[nodiscard]] bool anyTimely(TimePoint Now) const {
    return std::any_of(
        this->Waiting.begin(), this->Waiting.end(), [Now](const Entry &Each) {
          return !Each.AwaitsMember && !missesGoal(Each.Terms, Now);
        });
  }

  /// Removes and returns the statements that cannot be served before their
  /// deadlines, assuming that one statement starts each Outlook.Step, in
  /// serving order, and takes Outlook.Reserve. Removed statements do not delay
  /// those behind them. In a queue that stands, those that would wait for more
  /// than a share of their goals are removed as well. Statements without a
  /// member stay.
  std::vector<Item> shed(TimePoint Now, const QueueOutlook &Outlook) {
    this->order(Now);
    std::vector<Item> Expired;
    std::vector<Entry> Kept;
    Duration::rep Ahead = 0;
    for (Entry &Each : this->Waiting) {
      TimePoint StartsAt = Now + Outlook.Step * Ahead;
      bool MissesDeadline = StartsAt + Outlook.Reserve > Each.Terms.Deadline;
      bool Unservable =
          MissesDeadline ||
          (Outlook.Stands &&
           StartsAt > standingLimit(Each.Terms, Outlook.StandingGoalShare));
      if (Unservable && !Each.AwaitsMember) {
        Expired.push_back(std::move(Each.Value));
        continue;
      }
      Ahead += Each.AwaitsMember ? 0 : 1;
      Kept.push_back(std::move(Each));
    }
    this->Waiting = std::move(Kept);
    return Expired;
  }

  [[nodiscard]] std::size_t size() const { return this->Waiting.size(); }
  [[nodiscard]] bool empty() const { return this->Waiting.empty(); }

private:
  struct Entry {
    Item Value;
    SchedulingTerms Terms;
    /// Whether the last attempt to start it found no member.
    bool AwaitsMember = false;
  };

  void order(TimePoint Now) {
    std::stable_sort(this->Waiting.begin(), this->Waiting.end(),
                     [Now](const Entry &Left, const Entry &Right) {
                       return precedes(Left.Terms, Right.Terms, Now);
                     });
  }
  /// The latest start of a statement in a queue that stands. One without a
  /// latency goal may start until its deadline.
  static TimePoint standingLimit(const SchedulingTerms &Terms, int GoalShare) {
    if (Terms.Goal <= Terms.ArrivedAt)
      return Terms.Deadline;
    return Terms.ArrivedAt + (Terms.Goal - Terms.ArrivedAt) / GoalShare;
  }
  static bool missesGoal(const SchedulingTerms &Terms, TimePoint StartsAt) {
    return Terms.Goal <= StartsAt + Terms.ServiceTime;
  }
  static bool precedes(const SchedulingTerms &Left,
                       const SchedulingTerms &Right, TimePoint Now) {
    bool LeftMissesGoal = missesGoal(Left, Now);
    bool RightMissesGoal = missesGoal(Right, Now);
    if (LeftMissesGoal != RightMissesGoal)
      return RightMissesGoal;
    if (Left.Priority != Right.Priority)
      return Left.Priority < Right.Priority;
    if (LeftMissesGoal)
      return Left.ArrivedAt > Right.ArrivedAt;
    // Observed times vary, so only differences of about 40% are significant.
    int LeftSizeClass = sizeClass(Left.ServiceTime);
    int RightSizeClass = sizeClass(Right.ServiceTime);
    if (LeftSizeClass != RightSizeClass)
      return LeftSizeClass < RightSizeClass;
    return Left.Goal < Right.Goal;
  }
  /// Size class of a service time; one class for each factor of the square root
  /// of two.
  static int sizeClass(Duration ServiceTime) {
    return static_cast<int>(
        2 * std::log2(static_cast<double>(
                std::max<Duration::rep>(1, ServiceTime.count()))));
  }

  std::vector<Entry> Waiting;
};

} // namespace turmericpitch
