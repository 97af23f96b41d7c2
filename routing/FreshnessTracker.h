// Which log position proves that a read is no older than a stated age.
#pragma once

#include "core/Time.h"
#include "session/SessionState.h"

#include <deque>
#include <optional>

namespace turmericpitch {

struct FreshnessOptions {
  /// Samples closer than this are merged.
  Duration Spacing = std::chrono::milliseconds(40);
  /// Samples kept; at the spacing above they reach back 5 s, twice the
  /// longest age on the users' sheets.
  std::size_t MostSamples = 128;
  /// Taken off the accepted age for timers that fire late.
  Duration Margin = std::chrono::milliseconds(20);
};

/// What the log of a primary held at the time when it was asked. Immutable
/// value.
struct PrimarySample {
  TimePoint AskedAt;
  TermPosition Reached;

  bool operator==(const PrimarySample &) const = default;
};

/// Samples of one service's primary: what its log held at a time when it was
/// certainly the primary. A log that reaches a sample's position holds every
/// commit acknowledged before the sample was asked for. Pure; not
/// thread-safe.
class FreshnessTracker {
public:
  explicit FreshnessTracker(FreshnessOptions Options = {}) : Options(Options) {}

  /// The primary of Reign answered with Reached. Precondition: it was proven
  /// to be the primary at AskedAt. Samples of an earlier reign stay unless
  /// the new primary lacks them.
  void onPrimaryAnswer(std::uint64_t Reign, const TermPosition &Reached,
                       TimePoint AskedAt);
  /// The lowest position that makes a read which began at BeganAt no older
  /// than MaximumAge; nothing if no sample is young enough.
  [[nodiscard]] std::optional<TermPosition>
  positionFor(Duration MaximumAge, TimePoint BeganAt) const;
  /// What a log must reach to hold the session's own commits: its position,
  /// or the first sample of this reign if the position is of an earlier one.
  [[nodiscard]] std::optional<TermPosition>
  positionFor(const EpochPosition &Written) const;
  /// The newest sample; nothing without one.
  [[nodiscard]] std::optional<PrimarySample> newest() const;
  [[nodiscard]] std::uint64_t reign() const { return this->Reign; }

private:
  FreshnessOptions Options;
  std::uint64_t Reign = 0;
  std::optional<TermPosition> FirstOfReign;
  std::deque<PrimarySample> Samples;
};

} // namespace turmericpitch
