// Back-off for repeated calls to the platform's key-value store.
#pragma once

#include "core/RandomSource.h"
#include "core/Time.h"

namespace turmericpitch {

struct StoreBackoffOptions {
  /// Delay after the first failure. The store answers within 4 ms when it runs.
  Duration InitialDelay = std::chrono::milliseconds(200);
  /// Upper bound of the delay, which doubles with each further failure. With
  /// it, a few dozen instances send about twenty calls per second to a store
  /// that is down.
  Duration MaxDelay = std::chrono::milliseconds(1600);
  /// Each delay is lengthened or shortened by up to this fraction, so that
  /// instances do not call in step.
  double Jitter = 0.25;
};

/// Exponential back-off with jitter for one repeated call. Pure; not
/// thread-safe.
class StoreBackoff {
public:
  explicit StoreBackoff(StoreBackoffOptions Options = {}) : Options(Options) {}

  /// Records a failed call and returns the delay before the next one.
  Duration onFailed(RandomSource &Random);
  /// Records an answered call and resets the delay.
  void onAnswered() { this->Pause = Duration{0}; }

private:
  StoreBackoffOptions Options;
  Duration Pause{0};
};

} // namespace turmericpitch
