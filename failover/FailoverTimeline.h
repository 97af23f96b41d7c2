// Estimates when a service has a primary again.
#pragma once

#include "core/Time.h"
#include "failover/PrimaryRecord.h"

#include <optional>

namespace turmericpitch {

/// Typical lengths of the steps of a failover.
struct FailoverTimelineOptions {
  /// From the first unanswered request to the decision to replace the primary.
  Duration Detection{0};
  /// Until the other instances have reported whether they reach it.
  Duration Consultation{0};
  /// From the closing of the record until the last lease has expired.
  Duration ClosingWait{0};
  /// From the promotion order until the member is primary.
  Duration Promotion{0};
};

/// What an instance knows of a failover. Immutable value.
struct FailoverProgress {
  PrimaryPhase Phase = PrimaryPhase::Open;
  /// When this instance first saw the record in this phase.
  TimePoint PhaseSeenAt = {};
  /// Since when the primary has left all requests of this instance unanswered;
  /// empty if it answers, or was not asked.
  std::optional<TimePoint> SilentSince = std::nullopt;
  /// Whether records of the store still arrive, from the store itself or
  /// through other instances. Without the store no primary can be replaced.
  bool StoreAvailable = true;

  bool operator==(const FailoverProgress &) const = default;
};

/// Answers the loss of a primary: callers that can be served before their
/// deadlines wait, and the others learn when to return. Each phase counts from
/// when it was seen here, so that all instances can tell, not only the
/// promoter. Empty if nothing is known: the store is unavailable, the primary
/// seems to answer, other instances may reach it because no failover has begun
/// in time, or the phase takes more than twice its typical length. While a
/// phase takes longer than is typical, as much time is expected as it is
/// overdue. Pure; thread-safe.
std::optional<Duration> expectedRecovery(const FailoverTimelineOptions &Options,
                                         const FailoverProgress &Progress,
                                         TimePoint Now);

} // namespace turmericpitch
