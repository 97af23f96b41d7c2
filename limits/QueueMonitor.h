// Observes how fast a queue of statements is served and whether it stands.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <optional>

namespace turmericpitch {

struct QueueMonitorOptions {
  /// A queue stands once statements that can still meet their goals have waited
  /// without a break for this multiple of their service time. A burst that the
  /// members have room for ends sooner. The queue stands on for as long after
  /// the last refusal, as refusals empty it.
  int StandingFactor = 8;
  /// Divisor of the moving average of the time between two starts.
  int ObservationDivisor = 8;
};

/// The state of a queue after it was served. Immutable value.
struct QueuePass {
  /// Number of waiting statements that were started.
  std::size_t Started = 0;
  /// Whether statements still wait for a busy member.
  bool AnyBlocked = false;
  /// Whether one of these can still meet its goal.
  bool AnyTimely = false;

  bool operator==(const QueuePass &) const = default;
};

/// Answers a load that stays above what the members can serve, as when only the
/// primary of a service is recent enough for its reads. Each statement that
/// waits until it is late then only delays others, which become late as well,
/// and its caller learns too late that it has to return. Pure; not
/// thread-safe.
class QueueMonitor {
public:
  explicit QueueMonitor(QueueMonitorOptions Options = {}) : Options(Options) {}

  /// Call after each attempt to serve the queue, and when a statement was
  /// started without waiting.
  void onPass(const QueuePass &Pass, TimePoint Now);
  /// Call when statements were refused because the queue stands.
  void onRefused(TimePoint Now) { this->RefusedAt = Now; }
  /// Mean time between the starts of two waiting statements; empty until one
  /// was observed.
  [[nodiscard]] std::optional<Duration> startInterval(TimePoint Now) const;
  /// Whether statements wait that can meet their goals, and have done so
  /// without a break for several times ServiceTime, which is the mean of their
  /// service times without waiting.
  [[nodiscard]] bool stands(Duration ServiceTime, TimePoint Now) const;

private:
  QueueMonitorOptions Options;
  /// The last start while statements waited, or when they began to wait.
  std::optional<TimePoint> WaitingSince;
  std::optional<TimePoint> TimelySince;
  std::optional<TimePoint> RefusedAt;
  std::optional<Duration> Interval;
};

} // namespace turmericpitch
