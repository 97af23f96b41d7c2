// A buffer for log lines, bounded in rate and size.
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericpitch {

/// Major lines report the outcome of a request or a change of the process's
/// state; minor lines report intermediate steps.
enum class LogPriority : std::uint8_t { Minor, Major };

struct BoundedLogOptions {
  /// Bytes buffered for a slow reader; lines beyond this limit are dropped.
  std::size_t MaxPendingBytes = 128 * 1024;
  /// Sustained rates in lines per second, and burst sizes in lines. A line has
  /// about 100 bytes, so a day at the maximum rate writes less than 4 GB.
  double MajorPerSecond = 300;
  double MajorBurst = 1000;
  double MinorPerSecond = 100;
  double MinorBurst = 200;
};

/// Buffers log lines until they are written. Each priority has its own token
/// bucket, so that minor lines never displace lines that report failures.
/// Dropped lines are counted, and the count is reported in a line of its own.
/// Performs no I/O; not thread-safe.
class BoundedLog {
public:
  explicit BoundedLog(BoundedLogOptions Options = {});

  /// Appends Line, which has no line break at its end, or drops it if the
  /// buffer is full or the token bucket of its priority is empty.
  void add(std::string_view Line, LogPriority Priority, TimePoint Now);
  /// The bytes to be written; the view is valid until the next call.
  [[nodiscard]] std::string_view pending() const { return this->Pending; }
  /// Removes the first Count bytes, which have been written.
  void onWritten(std::size_t Count) { this->Pending.erase(0, Count); }
  /// Number of lines dropped since construction.
  [[nodiscard]] std::uint64_t dropped() const { return this->Dropped; }

private:
  /// Limits the rate of lines; refills with time up to Capacity.
  struct TokenBucket {
    double RefillPerSecond;
    double Capacity;
    double Tokens;
    TimePoint RefilledAt{};

    bool consume(TimePoint Now);
  };

  bool fits(std::size_t Size) const;

  BoundedLogOptions Options;
  TokenBucket Major;
  TokenBucket Minor;
  std::string Pending;
  std::uint64_t Dropped = 0;
  std::uint64_t ReportedDropped = 0;
};

} // namespace turmericpitch
