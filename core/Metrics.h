// Counters, gauges and latency histograms in the Prometheus format.
#pragma once

#include "core/Time.h"

#include <memory>
#include <string>
#include <string_view>

namespace turmericpitch {

/// Counters, gauges and histograms. The first and the last are kept per thread
/// and aggregated when read. Thread-safe. Label values must come from small
/// fixed sets, never from callers, sessions or statements, since each creates a
/// time series.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Increments a counter. Family is the metric's name without the prefix
  /// "turmericpitch_"; Label is the value of its one label, "kind".
  void count(std::string_view Family, std::string_view Label);
  /// Sets a gauge, whose family must differ from those of counters.
  void set(std::string_view Family, std::string_view Label, double Value);
  /// Records a duration in a histogram.
  void observe(std::string_view Family, std::string_view Label,
               Duration Length);
  /// The current value of a counter; 0 if it was never incremented.
  [[nodiscard]] std::uint64_t counterValue(std::string_view Family,
                                           std::string_view Label) const;
  /// All metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string scrape() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// The metrics of this process. Thread-safe.
Metrics &processMetrics();

} // namespace turmericpitch
