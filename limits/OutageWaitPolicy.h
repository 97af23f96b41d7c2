// Decides whether a statement waits or is refused while no member can run it.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

struct OutageWaitOptions {
  /// How long statements wait from the beginning of an outage whose end isn't
  /// known: enough for a few connection attempts.
  Duration MaxWaitIfUnknown = std::chrono::milliseconds(150);
  /// Time reserved for running the statement.
  Duration Reserve = std::chrono::milliseconds(60);
  /// Bounds of the retry time sent to a refused caller while the end of the
  /// outage isn't known. The upper one is about the duration of a complete
  /// failover.
  Duration MinRetryAfter = std::chrono::milliseconds(50);
  Duration MaxRetryAfterIfUnknown = std::chrono::milliseconds(2000);
};

/// Whether a statement that no member can run at present waits or is refused.
/// Immutable value.
struct OutageWaitDecision {
  bool Wait = true;
  /// For a refusal: the time after which the caller should retry.
  Duration RetryAfter{0};

  bool operator==(const OutageWaitDecision &) const = default;
};

/// When the outages of a service began: for statements that need its primary,
/// and for those that a replica may run. Not thread-safe.
class OutageMonitor {
public:
  /// Records whether a member was found that can run a statement, whatever the
  /// load. Returns when the outage began that the statement is in; empty if a
  /// member was found. An outage that no statement met for MaxGap has ended.
  std::optional<TimePoint> onPlacement(bool NeedsPrimary, bool AnyMember,
                                       TimePoint Now);

private:
  static constexpr Duration MaxGap = std::chrono::seconds(1);

  struct Outage {
    TimePoint BeganAt;
    TimePoint SeenAt;
  };

  std::optional<Outage> OfPrimary;
  std::optional<Outage> OfReaders;
};

/// Answers the loss of a primary, and of a zone while the store is away.
/// Decides to wait if a member is expected early enough to run the statement
/// before its deadline, and to refuse at once if it isn't. ExpectedIn: the time
/// until a member is expected. If that isn't known, statements wait only at the
/// beginning of an outage; callers are then told to return after about as long
/// as it has lasted. BeganAt: the beginning of the outage. Pure; thread-safe.
OutageWaitDecision decideOutageWait(const OutageWaitOptions &Options,
                                    TimePoint BeganAt, TimePoint Deadline,
                                    std::optional<Duration> ExpectedIn,
                                    TimePoint Now);

} // namespace turmericpitch
