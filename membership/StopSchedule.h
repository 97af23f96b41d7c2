// Until when a process that was asked to stop takes statements.
#pragma once

#include "core/Time.h"

namespace turmericpitch {

/// The schedule of a stop. Immutable value.
class StopSchedule {
public:
  /// GracePeriod: time from the request until the process is killed.
  StopSchedule(TimePoint RequestedAt, Duration GracePeriod)
      : RequestedAt(RequestedAt), GracePeriod(GracePeriod) {}

  /// When the process ends.
  [[nodiscard]] TimePoint endsAt() const {
    return this->RequestedAt + this->GracePeriod - Margin;
  }
  /// From when on open transactions without a running statement are rolled
  /// back.
  [[nodiscard]] TimePoint endsTransactionsAt() const {
    return this->RequestedAt + this->GracePeriod / 2;
  }
  /// Whether a statement outside an open transaction is taken that arrives now
  /// and may take up to Timeout. In the first half of the grace period all are,
  /// as the load balancer still sends new sessions; after it those that are
  /// answered before the process ends.
  [[nodiscard]] bool takes(TimePoint Now, Duration Timeout) const {
    return Now < this->endsTransactionsAt() || Now + Timeout <= this->endsAt();
  }

  bool operator==(const StopSchedule &) const = default;

private:
  /// Time between the end of the process and the time at which it is killed.
  static constexpr Duration Margin = std::chrono::milliseconds(500);

  TimePoint RequestedAt;
  Duration GracePeriod;
};

} // namespace turmericpitch
