// Clocks and time types. Decision logic takes the time as a parameter and
// never reads a clock itself.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <ctime>

namespace turmericpitch {

/// Tag clock for time points of this process; the origin is arbitrary.
struct ProcessClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<ProcessClock, duration>;
};

using Duration = ProcessClock::duration;
using TimePoint = ProcessClock::time_point;

/// A source of time: a system clock in daemons, a virtual one in tests.
template <typename T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
};

/// The system's monotonic clock. Thread-safe.
class MonotonicClock {
public:
  [[nodiscard]] TimePoint now() const {
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/// The system's clock that also advances while the machine is suspended. For
/// leases and other guarantees that expire at a time. Thread-safe.
class BootClock {
public:
  [[nodiscard]] TimePoint now() const {
    timespec Read{};
    clock_gettime(CLOCK_BOOTTIME, &Read);
    return TimePoint(std::chrono::seconds(Read.tv_sec) +
                     std::chrono::duration_cast<Duration>(
                         std::chrono::nanoseconds(Read.tv_nsec)));
  }
};

/// A clock that advances only by calls to its functions. Not thread-safe.
class VirtualClock {
public:
  [[nodiscard]] TimePoint now() const { return this->Current; }
  /// Precondition: To is not before now().
  void advanceTo(TimePoint To) { this->Current = To; }
  void advance(Duration By) { this->Current += By; }

private:
  TimePoint Current{};
};

} // namespace turmericpitch
