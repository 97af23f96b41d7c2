// Notifies waiting coroutines of changes.
#pragma once

#include "core/Time.h"
#include "drivers/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <mutex>
#include <vector>

namespace turmericpitch {

/// A condition variable for coroutines. To miss no change, read generation(),
/// check the condition, then wait() for a later generation. Thread-safe.
class ChangeSignal {
public:
  /// Number of calls to notify() since construction.
  [[nodiscard]] std::uint64_t generation() const;
  /// Wakes all waiting coroutines.
  void notify();
  /// Returns once generation() differs from Seen or Timeout has passed.
  /// Precondition: the awaiting coroutine runs on a strand or on a
  /// single-threaded executor.
  Awaitable<void> wait(std::uint64_t Seen, Duration Timeout);

private:
  using Timer = boost::asio::steady_timer;

  mutable std::mutex Mutex;
  std::uint64_t Generation = 0;
  std::vector<std::shared_ptr<Timer>> WaitingTimers;
};

/// Suspends the awaiting coroutine for Length. Thread-safe.
Awaitable<void> sleepFor(Duration Length);

} // namespace turmericpitch
