// Log lines that wait to be written, bounded in rate and size.
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericpitch {

/// Whether a line tells of a request's or the process's fate, or of a step
/// on the way.
enum class LogPriority : std::uint8_t { Minor, Major };

struct BoundedLogOptions {
  /// Bytes that wait for a slow reader; beyond, lines are dropped.
  std::size_t MaxPendingBytes = 128 * 1024;
  /// Lines a second, and how many may come at once. About 100 bytes each, so
  /// a day of the worst load stays under 4 GB.
  double MajorPerSecond = 300;
  double MajorBurst = 1000;
  double MinorPerSecond = 100;
  double MinorBurst = 200;
};

/// Steps have a budget of their own, so that they never crowd out the lines
/// that tell of failures. What was dropped is counted and said in a line.
/// Pure; not thread-safe.
class BoundedLog {
public:
  explicit BoundedLog(BoundedLogOptions Options = {});

  /// Takes a line without its end.
  void add(std::string_view Line, LogPriority Priority, TimePoint Now);
  /// What waits to be written; valid until the next call.
  [[nodiscard]] std::string_view pending() const { return this->Pending; }
  /// The first Count bytes have been written.
  void onWritten(std::size_t Count) { this->Pending.erase(0, Count); }
  /// Lines dropped since the start.
  [[nodiscard]] std::uint64_t dropped() const { return this->Dropped; }

private:
  /// A budget that fills up with time.
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
