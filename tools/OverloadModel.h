// Models one database behind several instances under more load than it can
// serve.
#pragma once

#include "core/EventQueue.h"
#include "core/RandomSource.h"
#include "limits/Admission.h"
#include "limits/ConnectionShares.h"

#include <memory>

namespace turmericpitch {

struct OverloadOptions {
  std::uint32_t Instances = 5;
  std::uint32_t Members = 3;
  /// Maximum number of connections to each member.
  std::uint32_t Connections = 20;
  /// Statements that each member runs concurrently.
  std::uint32_t Slots = 3;
  Duration MeanServiceTime = std::chrono::milliseconds(5);
  /// How long a transaction holds its connection after its statement has ended.
  Duration TransactionHoldTime{0};
  Duration OneWayDelay = std::chrono::microseconds(1500);
  Duration RequestTimeout = std::chrono::milliseconds(250);
  Duration WarmUp = std::chrono::seconds(5);
  Duration MeasurementPeriod = std::chrono::seconds(20);
  /// Arrival rate as a multiple of the capacity of the slots.
  double Load = 1;
  /// Fraction of the arrivals that come from one client account (the hot
  /// account) and reach a single instance.
  double HotAccountShare = 0;
  /// Whether instances adjust their connection shares to demand; otherwise each
  /// keeps its initial share.
  bool DemandShares = true;
  /// Whether requests are shed early and scheduled fairly by client account;
  /// otherwise they are served in order of arrival.
  bool AdmissionControl = true;
  std::uint64_t Seed = 1;

  /// Returns the statements per second that the slots can serve.
  [[nodiscard]] double capacity() const;
};

struct OverloadResult {
  /// Answers within their deadline, per second.
  double Goodput = 0;
  /// Goodput of the client accounts other than the hot one.
  double BackgroundGoodput = 0;
  /// Requests per second of client accounts other than the hot one.
  double BackgroundOffered = 0;
  /// Latency of the requests answered within their deadline.
  Duration Median{0};
  Duration P99{0};
  /// Time from arrival to refusal.
  Duration RefusalP99{0};
  std::uint32_t MaxOpenConnections = 0;
  /// Connection share messages sent per second and instance.
  double Messages = 0;
};

/// Runs the model once in virtual time. The same options give the same result.
/// Thread-safe.
OverloadResult runOverload(const OverloadOptions &Options);

} // namespace turmericpitch
