// How long statements of one kind take at a member that isn't crowded.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <deque>

namespace turmericpitch {

struct ServiceTimeEstimateOptions {
  /// Taken until enough was observed for a first average.
  Duration Initial = std::chrono::milliseconds(30);
  /// Times are averaged over windows of this length.
  Duration Window = std::chrono::seconds(5);
  /// The least average of so many windows counts: an overload of half a
  /// minute does not pass for usual.
  std::size_t Windows = 6;
  /// A window with fewer observations than this does not count.
  std::size_t MinObservations = 8;
};

/// The least average over some windows of time, as what a statement takes
/// beyond it is waiting. Pure; not thread-safe.
class ServiceTimeEstimate {
public:
  explicit ServiceTimeEstimate(ServiceTimeEstimateOptions Options = {})
      : Options(Options) {}

  /// A statement has run and took so long, the wait at the member included.
  void observe(Duration Took, TimePoint Now);
  [[nodiscard]] Duration value() const;

private:
  ServiceTimeEstimateOptions Options;
  TimePoint WindowBegan;
  Duration Sum{0};
  std::size_t Count = 0;
  /// Averages of whole windows, the newest last.
  std::deque<Duration> Averages;
};

} // namespace turmericpitch
