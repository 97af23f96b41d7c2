// Estimates the time that statements of one kind take at a member that is not
// congested.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <deque>

namespace turmericpitch {

struct ServiceTimeEstimateOptions {
  /// Assumed time until there are enough observations for a first average.
  Duration Initial = std::chrono::milliseconds(30);
  /// Length of the windows over which times are averaged.
  Duration Window = std::chrono::seconds(5);
  /// The estimate is the minimum over this many windows, so that an overload of
  /// up to half a minute does not raise it.
  std::size_t Windows = 6;
  /// A window with fewer observations than this is ignored.
  std::size_t MinObservations = 8;
};

/// The minimum of the averages over several time windows. Time that a statement
/// takes beyond it is taken to be waiting. Pure; not thread-safe.
class ServiceTimeEstimate {
public:
  explicit ServiceTimeEstimate(ServiceTimeEstimateOptions Options = {})
      : Options(Options) {}

  /// Records the time that a statement took, including its wait at the member.
  void observe(Duration Took, TimePoint Now);
  [[nodiscard]] Duration value() const;

private:
  ServiceTimeEstimateOptions Options;
  TimePoint WindowStartedAt;
  Duration Sum{0};
  std::size_t Count = 0;
  /// Averages of completed windows, the newest last.
  std::deque<Duration> Averages;
};

} // namespace turmericpitch
