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
constexpr double LeastLatencyS = 1e-4;
constexpr double MostLatencyS = 100;
constexpr double UsPerS = 1e6;
constexpr std::string_view Prefix = "turmericpitch_";

using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto makeBins() {
  return boost::histogram::make_histogram(
      LatencyAxis(LatencyBins, LeastLatencyS, MostLatencyS));
}

using LatencyBinning = decltype(makeBins());

/// Names one figure.
struct MetricKey {
  std::string Family;
  std::string Label;

  auto operator<=>(const MetricKey &) const = default;
};

/// Names one figure without owning the text.
struct MetricKeyView {
  std::string_view Family;
  std::string_view Label;
};

/// Compares both sorts of keys, so that a lookup copies no text.
struct MetricKeyLess {
  using is_transparent = void; // NOLINT(readability-identifier-naming)

  template <typename L, typename R>
  bool operator()(const L &Left, const R &Right) const {
    int Order = std::string_view(Left.Family).compare(Right.Family);
    if (Order != 0)
      return Order < 0;
    return std::string_view(Left.Label) < std::string_view(Right.Label);
  }
};

/// A latency histogram with its sum.
struct Latencies {
  LatencyBinning Bins = makeBins();
  double SumS = 0;
};

template <typename T> using Figures = std::map<MetricKey, T, MetricKeyLess>;

template <typename T> T &figure(Figures<T> &In, const MetricKeyView &Key) {
  auto Found = In.find(Key);
  if (Found == In.end())
    Found =
        In.emplace(MetricKey{std::string(Key.Family), std::string(Key.Label)},
                   T{})
            .first;
  return Found->second;
}

/// The figures of one thread.
struct ThreadFigures {
  mutable std::mutex Guard;
  Figures<std::uint64_t> Counts;
  Figures<Latencies> Histograms;
};

prometheus::ClientMetric labelled(const std::string &Label) {
  prometheus::ClientMetric Metric;
  Metric.label.push_back({.name = "kind", .value = Label});
  return Metric;
}

prometheus::ClientMetric histogramMetric(const std::string &Label,
                                         const Latencies &Measured) {
  prometheus::ClientMetric Metric = labelled(Label);
  std::uint64_t Cumulative = 0;
  for (auto &&Bin : boost::histogram::indexed(
           Measured.Bins, boost::histogram::coverage::all)) {
    Cumulative += static_cast<std::uint64_t>(*Bin);
    prometheus::ClientMetric::Bucket Bucket;
    Bucket.cumulative_count = Cumulative;
    Bucket.upper_bound = Bin.bin().upper();
    Metric.histogram.bucket.push_back(Bucket);
  }
  Metric.histogram.sample_count = Cumulative;
  Metric.histogram.sample_sum = Measured.SumS;
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
  /// The sum over all threads.
  void addUp(ThreadFigures &Into) const;

  oneapi::tbb::enumerable_thread_specific<ThreadFigures> Threads;
};

Metrics::Metrics() : Own(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::count(std::string_view Family, std::string_view Label) {
  ThreadFigures &Mine = this->Own->Threads.local();
  std::lock_guard Lock(Mine.Guard);
  ++figure(Mine.Counts, {.Family = Family, .Label = Label});
}

void Metrics::observe(std::string_view Family, std::string_view Label,
                      Duration Length) {
  ThreadFigures &Mine = this->Own->Threads.local();
  std::lock_guard Lock(Mine.Guard);
  Latencies &Measured =
      figure(Mine.Histograms, {.Family = Family, .Label = Label});
  double Seconds = static_cast<double>(Length.count()) / UsPerS;
  Measured.Bins(Seconds);
  Measured.SumS += Seconds;
}

void Metrics::State::addUp(ThreadFigures &Into) const {
  for (const ThreadFigures &Each : this->Threads) {
    std::lock_guard Lock(Each.Guard);
    for (const auto &[Key, Count] : Each.Counts)
      Into.Counts[Key] += Count;
    for (const auto &[Key, Measured] : Each.Histograms) {
      Latencies &Sum = Into.Histograms[Key];
      Sum.Bins += Measured.Bins;
      Sum.SumS += Measured.SumS;
    }
  }
}

std::uint64_t Metrics::counted(std::string_view Family,
                               std::string_view Label) const {
  std::uint64_t Sum = 0;
  for (const ThreadFigures &Each : this->Own->Threads) {
    std::lock_guard Lock(Each.Guard);
    auto Found = Each.Counts.find(MetricKeyView{Family, Label});
    if (Found != Each.Counts.end())
      Sum += Found->second;
  }
  return Sum;
}

std::string Metrics::scrape() const {
  ThreadFigures Sum;
  this->Own->addUp(Sum);
  std::map<std::string, prometheus::MetricFamily> Families;
  for (const auto &[Key, Count] : Sum.Counts) {
    prometheus::ClientMetric Metric = labelled(Key.Label);
    Metric.counter.value = static_cast<double>(Count);
    familyOf(Families, Key.Family, prometheus::MetricType::Counter)
        .metric.push_back(std::move(Metric));
  }
  for (const auto &[Key, Measured] : Sum.Histograms)
    familyOf(Families, Key.Family, prometheus::MetricType::Histogram)
        .metric.push_back(histogramMetric(Key.Label, Measured));
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
