// Collects the measurements of a load run.
#pragma once

#include "core/Error.h"
#include "core/Time.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericpitch {

enum class LoadOperation { Booking, Dispatch, SessionRead, CatalogueRead };

/// Returns the operation's stable name in reports. Thread-safe.
std::string_view toString(LoadOperation Operation);

/// One completed request.
struct LoadSample {
  LoadOperation Operation = LoadOperation::Booking;
  std::size_t Database = 0;
  /// Time since the start of the load.
  Duration SentAt{0};
  Duration Latency{0};
  /// Kind of the error; not set if the request succeeded.
  std::optional<ErrorKind> Failure;
  bool ServedByReplica = false;
};

/// Histogram of latencies in microseconds, with logarithmic bins.
class LatencyHistogram {
public:
  LatencyHistogram();
  void add(Duration Latency);
  /// Returns the upper edge of the bin that holds the quantile, 0 if the
  /// histogram is empty. Precondition: 0 <= Share <= 1.
  [[nodiscard]] Duration quantile(double Share) const;
  [[nodiscard]] std::uint64_t count() const { return this->Count; }

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Bins = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Bins Histogram;
  std::uint64_t Count = 0;
};

/// Measurements of one second of a run.
struct LoadSecond {
  std::uint64_t ReplicaReads = 0;
  std::uint64_t PrimaryReads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Failures = 0;
  LatencyHistogram Latency;
};

/// A period in which a database answered no writes although some were sent.
struct WriteGap {
  std::size_t Database = 0;
  /// Times of the last answered write before the gap and the first one after
  /// it, since the start of the load.
  Duration From{0};
  Duration Until{0};

  [[nodiscard]] Duration length() const { return this->Until - this->From; }
  auto operator<=>(const WriteGap &) const = default;
};

/// All measurements that a report shows. add() is thread-safe; latency()
/// returns a reference and must only be used once the run has ended.
class LoadRecorder {
public:
  void add(const LoadSample &Sample);

  [[nodiscard]] std::vector<LoadSecond> seconds() const;
  [[nodiscard]] const LatencyHistogram &latency(LoadOperation Operation) const;
  [[nodiscard]] std::map<std::string, std::uint64_t> failures() const;
  /// Returns the replica reads as a fraction of all answered reads, from 0 to
  /// 1.
  [[nodiscard]] double replicaShare() const;
  [[nodiscard]] std::uint64_t answered() const;
  /// Returns the longest gap of each database, longest first.
  [[nodiscard]] std::vector<WriteGap> longestGaps() const;

private:
  mutable std::mutex Mutex;
  std::map<std::int64_t, LoadSecond> Seconds;
  mutable std::map<LoadOperation, LatencyHistogram> Latencies;
  std::map<std::string, std::uint64_t> Failures;
  std::map<std::size_t, std::vector<Duration>> WriteCompletions;
  std::uint64_t ReplicaReads = 0;
  std::uint64_t PrimaryReads = 0;
  std::uint64_t Answered = 0;
};

} // namespace turmericpitch
