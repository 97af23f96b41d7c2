// Time as decisions see it: always handed in, never read.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <ctime>

namespace turmericpitch {

/// Tag clock: time points of this process, from an arbitrary origin.
struct ProcessClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<ProcessClock, duration>;
};

using Duration = ProcessClock::duration;
using TimePoint = ProcessClock::time_point;

/// Where time comes from: real in daemons, virtual in tests.
template <typename T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
};

/// The machine's monotonic clock. Thread-safe.
class MonotonicClock {
public:
  [[nodiscard]] TimePoint now() const {
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/// The machine's clock that also counts the time of a suspend, for promises
/// that end at a time. Thread-safe.
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

/// A clock that moves only when told. Not thread-safe.
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
