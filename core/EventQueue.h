// A discrete-event queue with virtual time, for tests and simulations.
#pragma once

#include "core/Time.h"

#include <functional>
#include <map>

namespace turmericpitch {

/// Runs tasks at virtual times, in order of time, then in the order in which
/// they were scheduled.
/// Not thread-safe.
class EventQueue {
public:
  using Task = std::function<void()>;

  [[nodiscard]] TimePoint now() const { return this->Time.now(); }
  /// Schedules Work for DueAt, or for now() if DueAt has passed.
  void scheduleAt(TimePoint DueAt, Task Work);
  /// Schedules Work for now() + Delay.
  void scheduleAfter(Duration Delay, Task Work);
  /// Runs all tasks due up to and including Until, then sets now() to Until
  /// unless it is already later.
  void runUntil(TimePoint Until);
  /// Advances time to the next task and runs it. Returns false if there is
  /// none.
  bool runNext();
  [[nodiscard]] bool empty() const { return this->Pending.empty(); }

private:
  VirtualClock Time;
  std::multimap<TimePoint, Task> Pending;
};

} // namespace turmericpitch
