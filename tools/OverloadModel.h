// One database before several instances, offered more than it can serve.
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
  /// Connections that each member takes.
  std::uint32_t Connections = 20;
  /// Statements that each member runs at once.
  std::uint32_t Slots = 3;
  Duration MeanServiceTime = std::chrono::milliseconds(5);
  /// How long a transaction holds its connection beyond its statement.
  Duration TransactionHoldTime{0};
  Duration OneWayDelay = std::chrono::microseconds(1500);
  Duration RequestTimeout = std::chrono::milliseconds(250);
  Duration WarmUp = std::chrono::seconds(5);
  Duration MeasurementPeriod = std::chrono::seconds(20);
  /// Arrivals over the slots' capacity.
  double Load = 1;
  /// Quantile of the arrivals that one client account sends to one instance.
  double HotAccountShare = 0;
  bool DemandShares = true;
  /// Shed early and divide fairly; else first come, first served.
  bool Admission = true;
  std::uint64_t Seed = 1;

  /// Statements a second that the slots serve.
  [[nodiscard]] double capacity() const;
};

struct OverloadResult {
  /// Answers within their deadline, per second.
  double Goodput = 0;
  /// Of those, to others than the hot client account.
  double BackgroundGoodput = 0;
  /// What others than the hot client account asked for, per second.
  double BackgroundOffered = 0;
  /// From arrival to answer of what was answered in time.
  Duration Median{0};
  Duration P99{0};
  /// From arrival to refusal.
  Duration RefusalP99{0};
  std::uint32_t MaxOpenConnections = 0;
  /// Share messages per second and instance.
  double Messages = 0;
};

/// Runs the model once in virtual time; the same options give the same
/// result. Thread-safe.
OverloadResult runOverload(const OverloadOptions &Options);

} // namespace turmericpitch
