// How long a repeated call of the platform's store waits after a failure.
#pragma once

#include "core/RandomSource.h"
#include "core/Time.h"

namespace turmericpitch {

struct StoreBackoffOptions {
  /// After the first failure; the store answers in 4 ms when it runs.
  Duration InitialDelay = std::chrono::milliseconds(200);
  /// The pause doubles with each further failure up to this, so that a few
  /// dozen instances send some twenty calls a second to a store that is down.
  Duration MaxDelay = std::chrono::milliseconds(1600);
  /// Each pause is longer or shorter by up to this share, so that instances
  /// don't call in step.
  double Jitter = 0.25;
};

/// The pauses of one repeated call. Pure; not thread-safe.
class StoreBackoff {
public:
  explicit StoreBackoff(StoreBackoffOptions Options = {}) : Options(Options) {}

  /// The call has failed. Returns how long to wait before the next one.
  Duration onFailed(RandomSource &Random);
  /// The call was answered.
  void onAnswered() { this->Pause = Duration{0}; }

private:
  StoreBackoffOptions Options;
  Duration Pause{0};
};

} // namespace turmericpitch
