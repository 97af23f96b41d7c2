// Priority queue of statements that wait for a member.
#pragma once

#include "core/Time.h"

#include <algorithm>
#include <cmath>
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

  /// Passes each waiting statement to Take in serving order. Statements for
  /// which Take returns true are removed from the queue.
  template <typename Callable> void serve(TimePoint Now, Callable &&Take) {
    this->order(Now);
    std::vector<Entry> Kept;
    std::vector<Entry> Candidates = std::move(this->Waiting);
    this->Waiting.clear();
    for (Entry &Each : Candidates)
      if (!Take(Each.Value))
        Kept.push_back(std::move(Each));
    // Take may have pushed further statements.
    for (Entry &Pushed : this->Waiting)
      Kept.push_back(std::move(Pushed));
    this->Waiting = std::move(Kept);
  }

  /// Removes and returns the statements that cannot be served before their
  /// deadlines, assuming that one statement starts each Step, in serving order,
  /// and takes Reserve. Removed statements do not delay those behind them.
  std::vector<Item> shed(TimePoint Now, Duration Step, Duration Reserve) {
    this->order(Now);
    std::vector<Item> Expired;
    std::vector<Entry> Kept;
    for (Entry &Each : this->Waiting) {
      auto Ahead = static_cast<Duration::rep>(Kept.size());
      if (Now + Step * Ahead + Reserve > Each.Terms.Deadline)
        Expired.push_back(std::move(Each.Value));
      else
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
  };

  void order(TimePoint Now) {
    std::stable_sort(this->Waiting.begin(), this->Waiting.end(),
                     [Now](const Entry &Left, const Entry &Right) {
                       return precedes(Left.Terms, Right.Terms, Now);
                     });
  }
  static bool precedes(const SchedulingTerms &Left,
                       const SchedulingTerms &Right, TimePoint Now) {
    bool LeftMissesGoal = Left.Goal <= Now + Left.ServiceTime;
    bool RightMissesGoal = Right.Goal <= Now + Right.ServiceTime;
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
