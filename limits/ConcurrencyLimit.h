// How many statements this instance has at one member at once.
#pragma once

#include "core/Time.h"

#include <cstddef>

namespace turmericpitch {

struct ConcurrencyLimitOptions {
  /// The most; the statements that the member runs at once.
  std::size_t Max = 1;
  /// Instances that share the member.
  std::size_t Instances = 1;
  /// All instances at their least still keep the member busy by this factor.
  double MinLoad = 1.5;
  /// Weight of the newest statement in the average that tells whether
  /// statements wait at the member.
  double SmoothingWeight = 0.125;
  /// One step down; at most one for each time that a statement takes.
  double DecreaseFactor = 0.85;
  /// After a refusal for lack of capacity nothing is sent for this long,
  /// twice as long after each further one, up to MostPause. The first is
  /// about the work of one short statement.
  Duration InitialPause = std::chrono::milliseconds(15);
  Duration MaxPause = std::chrono::milliseconds(240);
  /// Statements that end well before one more is sent at once.
  double StatementsToGrow = 8;
  /// The same from the start until statements first wait at the member: where
  /// all instances come back at once, nobody knows yet how many wait there.
  double StatementsToGrowInSlowStart = 2;
};

/// Begins with one statement. Halves at a refusal, gives way where statements
/// wait at the member, and grows with success, so that many instances that want
/// the same member together stay within what it takes. Below one, statements
/// are sent with pauses between them. Pure; not thread-safe.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions Options);

  void setInstances(std::size_t Instances) {
    this->Options.Instances = Instances;
  }
  /// The member refused a statement for lack of capacity.
  void onRefused(TimePoint Now);
  /// A statement has run and took so long, of Allotted. Where they take
  /// longer than that on average the limit is lowered: what waits here
  /// instead is served in the order that is best for callers.
  void onCompleted(Duration Took, Duration TargetTime, TimePoint Now);
  /// How many may be there now; 0 during a pause.
  [[nodiscard]] std::size_t allowed(TimePoint Now) const;
  /// The same for urgent work, which doesn't wait for the pauses between
  /// statements: one more.
  [[nodiscard]] std::size_t allowedUrgent(TimePoint Now) const;
  /// The limit, parts of one included.
  [[nodiscard]] double limit() const { return this->Limit; }
  /// Whether statements wait at the member.
  [[nodiscard]] bool congested() const { return this->MeanTimeRatio > 1; }

private:
  [[nodiscard]] double minLimit() const;

  ConcurrencyLimitOptions Options;
  double Limit;
  /// Statements have not waited at the member yet.
  bool InSlowStart = true;
  /// How long statements take in parts of what they are allotted, averaged.
  double MeanTimeRatio = 0;
  TimePoint LoweredAt;
  Duration Pause{0};
  /// After a refusal.
  TimePoint PausedUntil;
  /// Between two statements, where the limit is below one.
  TimePoint PacedUntil;
};

} // namespace turmericpitch
