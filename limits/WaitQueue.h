// The order in which statements that wait for a member are served.
#pragma once

#include "core/Time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

/// When a waiting statement is of use to its caller. Immutable value.
struct SchedulingTerms {
  TimePoint ArrivedAt;
  /// By when the caller wants the whole operation done.
  TimePoint Goal;
  /// When the statement is given up.
  TimePoint Deadline;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// How long statements of this kind usually take at a member.
  Duration ServiceTime{0};

  bool operator==(const SchedulingTerms &) const = default;
};

/// Statements that wait, in the order that serves the most callers in time:
/// first those that can still meet their goal, the most urgent first, among
/// equals the shorter work first, then the nearest goal; then those that are
/// late already, by urgency and then the latest arrival first, as that one
/// has the most of its time left. Not thread-safe.
template <typename Item> class WaitQueue {
public:
  void push(Item Waiting, const SchedulingTerms &Terms) {
    this->Waiting.push_back({.What = std::move(Waiting), .Terms = Terms});
  }

  /// Offers each waiting statement, best first, to Take, which returns
  /// whether it took it; those taken leave the queue.
  template <typename Callable> void serve(TimePoint Now, Callable &&Take) {
    this->order(Now);
    std::vector<Entry> Kept;
    std::vector<Entry> All = std::move(this->Waiting);
    this->Waiting.clear();
    for (Entry &Each : All)
      if (!Take(Each.What))
        Kept.push_back(std::move(Each));
    // Taking one may have pushed others.
    for (Entry &Added : this->Waiting)
      Kept.push_back(std::move(Added));
    this->Waiting = std::move(Kept);
  }

  /// Removes and returns those that can't be served before their deadlines:
  /// one is served each Step, in order, and takes Reserve. Those that a
  /// removal lets move up are kept.
  std::vector<Item> shed(TimePoint Now, Duration Step, Duration Reserve) {
    this->order(Now);
    std::vector<Item> Expired;
    std::vector<Entry> Kept;
    for (Entry &Each : this->Waiting) {
      auto Ahead = static_cast<Duration::rep>(Kept.size());
      if (Now + Step * Ahead + Reserve > Each.Terms.Deadline)
        Expired.push_back(std::move(Each.What));
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
    Item What;
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
    bool LeftLate = Left.Goal <= Now + Left.ServiceTime;
    bool RightLate = Right.Goal <= Now + Right.ServiceTime;
    if (LeftLate != RightLate)
      return RightLate;
    if (Left.Priority != Right.Priority)
      return Left.Priority < Right.Priority;
    if (LeftLate)
      return Left.ArrivedAt > Right.ArrivedAt;
    // Observed times vary; only a difference of some 40% counts.
    int LeftSize = sizeOf(Left.ServiceTime);
    int RightSize = sizeOf(Right.ServiceTime);
    if (LeftSize != RightSize)
      return LeftSize < RightSize;
    return Left.Goal < Right.Goal;
  }
  /// Grows by one with each factor of the square root of two.
  static int sizeOf(Duration ServiceTime) {
    return static_cast<int>(
        2 * std::log2(static_cast<double>(
                std::max<Duration::rep>(1, ServiceTime.count()))));
  }

  std::vector<Entry> Waiting;
};

} // namespace turmericpitch
