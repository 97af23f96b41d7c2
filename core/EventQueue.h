// Virtual time for tests and experiments.
#pragma once

#include "core/Time.h"

#include <functional>
#include <map>

namespace turmericpitch {

/// Runs callables at virtual times, in order of time, then of scheduling.
/// Not thread-safe.
class EventQueue {
public:
  using Task = std::function<void()>;

  [[nodiscard]] TimePoint now() const { return this->Time.now(); }
  /// Runs Work at a moment; one already past runs next.
  void scheduleAt(TimePoint DueAt, Task Work);
  /// Runs Work after a delay.
  void scheduleAfter(Duration Delay, Task Work);
  /// Runs all that is due up to Until, which becomes the present.
  void runUntil(TimePoint Until);
  /// Runs the next event. Returns false if there is none.
  bool runNext();
  [[nodiscard]] bool empty() const { return this->Pending.empty(); }

private:
  VirtualClock Time;
  std::multimap<TimePoint, Task> Pending;
};

} // namespace turmericpitch
