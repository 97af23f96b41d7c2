// Finds the log position that bounds the staleness of a read.
#pragma once

#include "core/Time.h"
#include "session/SessionState.h"

#include <deque>
#include <optional>

namespace turmericpitch {

struct FreshnessOptions {
  /// A sample taken sooner than this after the previous one is dropped.
  Duration MinSampleInterval = std::chrono::milliseconds(40);
  /// Number of samples kept.
  std::size_t MaxSamples = 128;
  /// Subtracted from the accepted age, because timers may fire late.
  Duration TimerMargin = std::chrono::milliseconds(20);
};

/// Position that a primary's log had reached when the primary was queried.
/// Immutable value.
struct PrimarySample {
  TimePoint AskedAt;
  TermPosition Reached;

  bool operator==(const PrimarySample &) const = default;
};

/// Samples of the log position of one service's primary, taken while it was
/// certainly the primary. A log that reaches a sample's position holds every
/// commit acknowledged before the sample was requested. Pure; not thread-safe.
class FreshnessTracker {
public:
  explicit FreshnessTracker(FreshnessOptions Options = {}) : Options(Options) {}

  /// Sets the largest age of data that a route accepts. Samples are kept for as
  /// long; the older they are, the further apart.
  void setLoosestAge(Duration Age) { this->LoosestAge = Age; }
  /// The primary of Epoch reported Reached. Precondition: it was proven to be
  /// the primary at AskedAt. Samples of an earlier epoch are kept, except those
  /// whose positions the new primary does not hold. Reports of an earlier epoch
  /// are ignored.
  void onPrimaryAnswer(std::uint64_t Epoch, const TermPosition &Reached,
                       TimePoint AskedAt);
  /// The lowest position that a log must reach so that a read which began at
  /// BeganAt is no older than MaximumAge; empty if no sample is recent enough.
  [[nodiscard]] std::optional<TermPosition>
  positionFor(Duration MaximumAge, TimePoint BeganAt) const;
  /// The position that a log must reach to hold the session's own commits in
  /// this service: the written position, or the first sample of the current
  /// epoch if it was written in an earlier one. The epoch may be newer than all
  /// samples, as the position of a write whose acknowledgement was held back is
  /// no sample.
  [[nodiscard]] std::optional<TermPosition>
  positionFor(const EpochPosition &Written) const;
  /// The newest sample; empty if there is none.
  [[nodiscard]] std::optional<PrimarySample> newest() const;
  [[nodiscard]] std::uint64_t epoch() const { return this->Epoch; }

private:
  /// Removes samples once there are too many.
  void thin();

  FreshnessOptions Options;
  Duration LoosestAge{0};
  std::uint64_t Epoch = 0;
  std::optional<TermPosition> FirstOfEpoch;
  std::deque<PrimarySample> Samples;
};

} // namespace turmericpitch
