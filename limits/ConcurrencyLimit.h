// How many statements this instance has at one member at once.
#pragma once

#include "core/Time.h"

#include <cstddef>

namespace turmericpitch {

struct ConcurrencyLimitOptions {
  /// The most; the statements that the member runs at once.
  std::size_t Most = 1;
  /// After a refusal for lack of capacity nothing is sent for this long,
  /// twice as long after each further one, up to MostPause. The first is
  /// about the work of one short statement.
  Duration FirstPause = std::chrono::milliseconds(15);
  Duration MostPause = std::chrono::milliseconds(240);
  /// Statements that end well before one more is sent at once.
  double StatementsToGrow = 8;
};

/// Halves at a refusal and grows with success, so that many instances that
/// want the same member together stay within what it takes. Pure; not
/// thread-safe.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions Options)
      : Options(Options), Limit(static_cast<double>(Options.Most)) {}

  /// The member refused a statement for lack of capacity.
  void onRefused(TimePoint Now);
  /// A statement has run.
  void onRun();
  /// How many may be there now; 0 during a pause.
  [[nodiscard]] std::size_t allowed(TimePoint Now) const;

private:
  ConcurrencyLimitOptions Options;
  double Limit;
  Duration Pause{0};
  TimePoint PausedUntil;
};

} // namespace turmericpitch
