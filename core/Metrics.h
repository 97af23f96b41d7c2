// Counters and latency histograms of this process, for scraping.
#pragma once

#include "core/Time.h"

#include <memory>
#include <string>
#include <string_view>

namespace turmericpitch {

/// Gathers figures in a part for each thread and adds the parts up when
/// scraped. Thread-safe. Labels must come from small fixed sets: never from
/// callers, sessions or statements.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds one to a counter. Family is the metric's name without the prefix
  /// "turmericpitch_"; Label is the value of its one label, "kind".
  void count(std::string_view Family, std::string_view Label);
  /// Takes a duration into a histogram.
  void observe(std::string_view Family, std::string_view Label,
               Duration Length);
  /// The present value of a counter.
  [[nodiscard]] std::uint64_t counterValue(std::string_view Family,
                                           std::string_view Label) const;
  /// All figures in the Prometheus text format.
  [[nodiscard]] std::string scrape() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// The metrics of this process. Thread-safe.
Metrics &processMetrics();

} // namespace turmericpitch
