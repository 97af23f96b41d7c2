// Limits the number of statements that this instance has in flight at one
// member.
#pragma once

#include "core/Time.h"

#include <cstddef>

namespace turmericpitch {

struct ConcurrencyLimitOptions {
  /// Upper bound of the limit: the number of statements that the member runs
  /// concurrently.
  std::size_t Max = 1;
  /// Number of instances that share the member.
  std::size_t Instances = 1;
  /// With all instances at their minimum limit, the statements in flight are
  /// this multiple of what the member runs concurrently.
  double MinLoad = 1.5;
  /// Weight of the newest statement in the moving average that detects
  /// statements waiting at the member.
  double SmoothingWeight = 0.125;
  /// Factor of one decrease. There is at most one decrease in the time that a
  /// statement takes.
  double DecreaseFactor = 0.85;
  /// Back-off after a refusal for lack of capacity: nothing is sent for this
  /// long. The time doubles with each further refusal up to MaxPause. The
  /// initial pause is about the service time of one short statement.
  Duration InitialPause = std::chrono::milliseconds(15);
  Duration MaxPause = std::chrono::milliseconds(240);
  /// Number of statements that must complete in time before the limit grows by
  /// one.
  double StatementsToGrow = 8;
  /// The same during slow start, which lasts until statements first wait at the
  /// member. It is needed because when all instances reconnect together, none
  /// knows yet how many statements wait there.
  double StatementsToGrowInSlowStart = 2;
};

/// Adaptive concurrency limit with slow start. Starts at the even share, as all
/// instances may be starting at the same time, halves on a refusal, decreases
/// while statements wait at the member, and grows as statements complete in
/// time, so that many instances using the same member stay within its capacity.
/// A limit below one is enforced by pacing: statements are sent one at a time
/// with pauses in between. Pure; not thread-safe.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions Options);

  /// Until the first statement completes, the limit follows the even share.
  void setInstances(std::size_t Instances);
  /// The member refused a statement for lack of capacity.
  void onRefused(TimePoint Now);
  /// A statement has completed after Took. If statements take longer than
  /// TargetTime on average, the limit is lowered: statements that wait in this
  /// instance instead of at the member are served in the order that is best for
  /// callers.
  void onCompleted(Duration Took, Duration TargetTime, TimePoint Now);
  /// Number of statements that may be in flight now; 0 during a pause.
  [[nodiscard]] std::size_t allowed(TimePoint Now) const;
  /// The same for urgent statements: one more, and not subject to pacing.
  [[nodiscard]] std::size_t allowedUrgent(TimePoint Now) const;
  /// The limit, including its fractional part.
  [[nodiscard]] double limit() const { return this->Limit; }
  /// Whether statements wait at the member.
  [[nodiscard]] bool congested() const { return this->MeanTimeRatio > 1; }

private:
  [[nodiscard]] double minLimit() const;

  ConcurrencyLimitOptions Options;
  double Limit;
  /// True until statements first wait at the member.
  bool InSlowStart = true;
  /// Whether a statement has completed, and whether one has or was refused.
  bool Completed = false;
  bool Used = false;
  /// Moving average of the ratio of a statement's time to its target time.
  double MeanTimeRatio = 0;
  TimePoint LoweredAt;
  Duration Pause{0};
  /// End of the pause after a refusal.
  TimePoint PausedUntil;
  /// End of the pacing delay between two statements; used for limits below one.
  TimePoint PacedUntil;
};

} // namespace turmericpitch
