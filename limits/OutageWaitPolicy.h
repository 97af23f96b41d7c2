// Decides whether a statement waits or is refused while no member can run it.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

struct OutageWaitOptions {
  /// How long a statement waits if it is not known when a member will be
  /// available: enough for a few connection attempts.
  Duration MaxWaitIfUnknown = std::chrono::milliseconds(150);
  /// Time reserved for running the statement.
  Duration Reserve = std::chrono::milliseconds(60);
  /// Retry time sent to a refused caller if no better estimate is known: about
  /// the duration of a complete failover.
  Duration RetryAfter = std::chrono::milliseconds(2000);
  /// Lower bound of the retry time.
  Duration MinRetryAfter = std::chrono::milliseconds(50);
};

/// Whether a statement that no member can run at present waits or is refused.
/// Immutable value.
struct OutageWaitDecision {
  bool Wait = true;
  /// For a refusal: the time after which the caller should retry.
  Duration RetryAfter{0};

  bool operator==(const OutageWaitDecision &) const = default;
};

/// Decides to wait if a member is expected early enough to run the statement
/// before its deadline, and to refuse at once if none is. ExpectedIn is the
/// time until a member is expected; empty if unknown, in which case the
/// statement waits for at most Options.MaxWaitIfUnknown after its arrival.
/// Pure; thread-safe.
OutageWaitDecision decideOutageWait(const OutageWaitOptions &Options,
                                    TimePoint ArrivedAt, TimePoint Deadline,
                                    std::optional<Duration> ExpectedIn,
                                    TimePoint Now);

} // namespace turmericpitch
