// Decides when a primary is asked for a sample of its log position.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

struct SampleScheduleOptions {
  /// If the newest sample of the primary's log position is older than this, its
  /// status is queried, so that replicas can continue to serve reads with
  /// bounded staleness.
  Duration Interval = std::chrono::milliseconds(500);
  /// The same for an instance that receives the samples of others, unless the
  /// age that a route accepts is shorter. A relayed sample is up to 850 ms old.
  Duration ReceivedInterval = std::chrono::milliseconds(1000);
};

/// What an instance knows of the samples of a primary on which it holds a
/// lease. Immutable value.
struct SampleKnowledge {
  /// When the newest sample was asked for; empty without one.
  std::optional<TimePoint> NewestAskedAt = std::nullopt;
  /// Whether that sample is of the current primary.
  bool NewestIsCurrent = true;
  /// When this instance last queried the primary for a sample.
  TimePoint RequestedAt = {};
  /// The smallest age of data that a route of the service accepts.
  std::optional<Duration> StrictestAge = std::nullopt;
  /// Whether other instances receive this instance's samples.
  bool SampledForOthers = false;
  /// Whether the query needs no new connection to the primary.
  bool HasIdleLink = true;

  bool operator==(const SampleKnowledge &) const = default;
};

/// Answers a fleet whose instances send a primary too few statements to learn
/// its position from the replies. Pure; thread-safe.
bool needsSample(const SampleScheduleOptions &Options,
                 const SampleKnowledge &Known, TimePoint Now);

} // namespace turmericpitch
