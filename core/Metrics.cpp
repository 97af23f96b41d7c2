#include "core/Metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <oneapi/tbb/enumerable_thread_specific.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sstream>
#include <vector>

namespace turmericpitch {

namespace {

constexpr unsigned LatencyBins = 24;
constexpr double MinLatencyS = 1e-4;
constexpr double MaxLatencyS = 100;
constexpr double UsPerS = 1e6;
constexpr std::string_view Prefix = "turmericpitch_";

using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto makeBins() {
  return boost::histogram::make_histogram(
      LatencyAxis(LatencyBins, MinLatencyS, MaxLatencyS));
}

using LatencyBinning = decltype(makeBins());

/// Identifies one time series.
struct SeriesKey {
  std::string Family;
  std::string Label;

  auto operator<=>(const SeriesKey &) const = default;
};

/// Identifies one time series without owning the text.
struct SeriesKeyView {
  std::string_view Family;
  std::string_view Label;
};

/// Compares keys and key views, so that a lookup copies no text.
struct SeriesKeyLess {
  using is_transparent = void; // NOLINT(readability-identifier-naming)

  template <typename L, typename R>
  bool operator()(const L &Left, const R &Right) const {
    int Order = std::string_view(Left.Family).compare(Right.Family);
    if (Order != 0)
      return Order < 0;
    return std::string_view(Left.Label) < std::string_view(Right.Label);
  }
};

/// A latency histogram with the sum of the durations in seconds.
struct LatencyHistogram {
  LatencyBinning Bins = makeBins();
  double SumS = 0;
};

template <typename T> using SeriesMap = std::map<SeriesKey, T, SeriesKeyLess>;

template <typename T>
T &findOrAddSeries(SeriesMap<T> &Series, const SeriesKeyView &Key) {
  auto Found = Series.find(Key);
  if (Found == Series.end())
    Found =
        Series
            .emplace(SeriesKey{std::string(Key.Family), std::string(Key.Label)},
                     T{})
            .first;
  return Found->second;
}

/// The time series of one thread.
struct ThreadMetrics {
  mutable std::mutex Mutex;
  SeriesMap<std::uint64_t> Counts;
  SeriesMap<LatencyHistogram> Histograms;
};

prometheus::ClientMetric labelled(const std::string &Label) {
  prometheus::ClientMetric Metric;
  Metric.label.push_back({.name = "kind", .value = Label});
  return Metric;
}

prometheus::ClientMetric histogramMetric(const std::string &Label,
                                         const LatencyHistogram &Histogram) {
  prometheus::ClientMetric Metric = labelled(Label);
  std::uint64_t Cumulative = 0;
  for (auto &&Bin : boost::histogram::indexed(
           Histogram.Bins, boost::histogram::coverage::all)) {
    Cumulative += static_cast<std::uint64_t>(*Bin);
    prometheus::ClientMetric::Bucket Bucket;
    Bucket.cumulative_count = Cumulative;
    Bucket.upper_bound = Bin.bin().upper();
    Metric.histogram.bucket.push_back(Bucket);
  }
  Metric.histogram.sample_count = Cumulative;
  Metric.histogram.sample_sum = Histogram.SumS;
  return Metric;
}

prometheus::MetricFamily &
familyOf(std::map<std::string, prometheus::MetricFamily> &Families,
         const std::string &Name, prometheus::MetricType Type) {
  prometheus::MetricFamily &Family = Families[Name];
  Family.name = std::string(Prefix) + Name;
  Family.help = Name;
  Family.type = Type;
  return Family;
}

} // namespace

struct Metrics::State {
  /// Adds the time series of all threads to Into.
  void aggregateInto(ThreadMetrics &Into) const;

  oneapi::tbb::enumerable_thread_specific<ThreadMetrics> Threads;
  std::mutex GaugeMutex;
  SeriesMap<double> Gauges;
};

Metrics::Metrics() : Impl(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::count(std::string_view Family, std::string_view Label) {
  ThreadMetrics &Local = this->Impl->Threads.local();
  std::lock_guard Lock(Local.Mutex);
  ++findOrAddSeries(Local.Counts, {.Family = Family, .Label = Label});
}

void Metrics::set(std::string_view Family, std::string_view Label,
                  double Value) {
  std::lock_guard Lock(this->Impl->GaugeMutex);
  findOrAddSeries(this->Impl->Gauges, {.Family = Family, .Label = Label}) =
      Value;
}

void Metrics::observe(std::string_view Family, std::string_view Label,
                      Duration Length) {
  ThreadMetrics &Local = this->Impl->Threads.local();
  std::lock_guard Lock(Local.Mutex);
  LatencyHistogram &Histogram =
      findOrAddSeries(Local.Histograms, {.Family = Family, .Label = Label});
  double Seconds = static_cast<double>(Length.count()) / UsPerS;
  Histogram.Bins(Seconds);
  Histogram.SumS += Seconds;
}

void Metrics::State::aggregateInto(ThreadMetrics &Into) const {
  for (const ThreadMetrics &Thread : this->Threads) {
    std::lock_guard Lock(Thread.Mutex);
    for (const auto &[Key, Count] : Thread.Counts)
      Into.Counts[Key] += Count;
    for (const auto &[Key, Histogram] : Thread.Histograms) {
      LatencyHistogram &Sum = Into.Histograms[Key];
      Sum.Bins += Histogram.Bins;
      Sum.SumS += Histogram.SumS;
    }
  }
}

std::uint64_t Metrics::counterValue(std::string_view Family,
                                    std::string_view Label) const {
  std::uint64_t Sum = 0;
  for (const ThreadMetrics &Thread : this->Impl->Threads) {
    std::lock_guard Lock(Thread.Mutex);
    auto Found = Thread.Counts.find(SeriesKeyView{Family, Label});
    if (Found != Thread.Counts.end())
      Sum += Found->second;
  }
  return Sum;
}

std::string Metrics::scrape() const {
  ThreadMetrics Sum;
  this->Impl->aggregateInto(Sum);
  std::map<std::string, prometheus::MetricFamily> Families;
  for (const auto &[Key, Count] : Sum.Counts) {
    prometheus::ClientMetric Metric = labelled(Key.Label);
    Metric.counter.value = static_cast<double>(Count);
    familyOf(Families, Key.Family, prometheus::MetricType::Counter)
        .metric.push_back(std::move(Metric));
  }
  {
    std::lock_guard Lock(this->Impl->GaugeMutex);
    for (const auto &[Key, Value] : this->Impl->Gauges) {
      prometheus::ClientMetric Metric = labelled(Key.Label);
      Metric.gauge.value = Value;
      familyOf(Families, Key.Family, prometheus::MetricType::Gauge)
          .metric.push_back(std::move(Metric));
    }
  }
  for (const auto &[Key, Histogram] : Sum.Histograms)
    familyOf(Families, Key.Family, prometheus::MetricType::Histogram)
        .metric.push_back(histogramMetric(Key.Label, Histogram));
  std::vector<prometheus::MetricFamily> Ordered;
  for (auto &[Name, Family] : Families)
    Ordered.push_back(std::move(Family));
  std::ostringstream Text;
  prometheus::TextSerializer().Serialize(Text, Ordered);
  return Text.str();
}

Metrics &processMetrics() {
  static Metrics Process;
  return Process;
}

} // namespace turmericpitch
