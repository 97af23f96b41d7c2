// Decides whether a statement waits out the absence of every member that
// could run it.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

struct OutageWaitOptions {
  /// How long a statement waits when nothing tells when a member will be
  /// there: a few retries of a connection.
  Duration Unknown = std::chrono::milliseconds(150);
  /// Left for running the statement itself.
  Duration Reserve = std::chrono::milliseconds(60);
  /// What a refused caller is told to wait when nothing better is known:
  /// about the time of a whole failover.
  Duration RetryAfter = std::chrono::milliseconds(2000);
  Duration MinRetryAfter = std::chrono::milliseconds(50);
};

/// What a statement that no member can run at present should do. Immutable
/// value.
struct OutageWaitDecision {
  bool Wait = true;
  /// For a refusal: when to come back.
  Duration RetryAfter{0};

  bool operator==(const OutageWaitDecision &) const = default;
};

/// Waits if a member is expected back while the statement can still run
/// there in time, and refuses at once if it is known that none will be.
/// ExpectedIn: when a member is expected; nothing if that isn't known. Pure;
/// thread-safe.
OutageWaitDecision decideOutageWait(const OutageWaitOptions &Options,
                                    TimePoint ArrivedAt, TimePoint Deadline,
                                    std::optional<Duration> ExpectedIn,
                                    TimePoint Now);

} // namespace turmericpitch
