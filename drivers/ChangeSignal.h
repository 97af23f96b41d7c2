// Wakes coroutines when something has changed.
#pragma once

#include "core/Time.h"
#include "drivers/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <mutex>
#include <vector>

namespace turmericpitch {

/// Read generation(), check the condition, then wait() for a later
/// generation: no change in between is missed. Thread-safe.
class ChangeSignal {
public:
  [[nodiscard]] std::uint64_t generation() const;
  /// Wakes all that wait.
  void notify();
  /// Returns once generation() differs from Seen or Limit has passed.
  /// Precondition: the awaiting coroutine runs on a strand or on a
  /// single-threaded executor.
  Awaitable<void> wait(std::uint64_t Seen, Duration Timeout);

private:
  using Timer = boost::asio::steady_timer;

  mutable std::mutex Mutex;
  std::uint64_t Generation = 0;
  std::vector<std::shared_ptr<Timer>> WaitingTimers;
};

/// Suspends the awaiting coroutine. Thread-safe.
Awaitable<void> sleepFor(Duration Length);

} // namespace turmericpitch
