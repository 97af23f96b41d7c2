// Decides when the primary of a service is replaced, which instance acts and
// which member succeeds.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"
#include "failover/LeaseMessages.h"

#include <optional>

namespace turmericpitch {

struct PrimaryMonitorOptions {
  /// Time without a reply to requests of this instance after which the primary
  /// is probed on a separate connection.
  Duration ProbeDelay = std::chrono::milliseconds(150);
  /// Time without a reply after which the primary counts as failed. The longest
  /// statement that users specify takes 410 ms, and a probe is answered at
  /// once.
  Duration SilenceTimeout = std::chrono::milliseconds(500);
  /// The same if the member's address refuses connections, as no process
  /// listens there. Long enough that a member which restarts at once is not
  /// replaced.
  Duration RefusalTimeout = std::chrono::milliseconds(250);
  /// Further delay for each rank among the instances, so that they seldom
  /// compete: querying the others takes 80 ms at most, and they learn of a
  /// closed record within tens of milliseconds.
  Duration RankDelay = std::chrono::milliseconds(150);
  /// Number of ranks that are delayed by RankDelay each. Later ranks are
  /// spaced by LaterRankDelay, so that the delay stays short if several lower
  /// ranks are unable to act. If two such instances compete, the loser only
  /// fails one conditional write.
  std::size_t FullDelayRanks = 3;
  Duration LaterRankDelay = std::chrono::milliseconds(20);
  /// A longer gap between two evaluations means that this process was paused.
  /// Replies missed during the pause don't count as silence of the primary.
  Duration MaxEvaluationGap = std::chrono::milliseconds(350);
};

/// The state of a service's primary as observed by this instance. Immutable
/// value.
struct PrimaryObservation {
  /// Whether the primary has an entry in the member registry.
  bool Registered = true;
  bool Draining = false;
  /// Since when the primary has left all requests unanswered; not set if none
  /// is outstanding.
  std::optional<TimePoint> SilentSince = std::nullopt;
  /// Whether the newest attempt to connect was refused.
  bool Refusing = false;
};

/// The delay of an instance of this rank relative to rank 0. Pure.
Duration rankDelay(const PrimaryMonitorOptions &Options, std::size_t Rank);

enum class FailoverReason : std::uint8_t {
  None,
  /// The primary has failed or is no longer registered.
  Lost,
  /// The primary is draining.
  Leaving,
  /// No replica has applied enough to serve reads, and the primary is
  /// overloaded.
  Backlog,
};

/// Whether the primary still runs, so that the change can be completed without
/// losing writes. Thread-safe.
bool isPlanned(FailoverReason Reason);

/// The stable name in the decision log. Thread-safe.
std::string_view toString(FailoverReason Reason);

/// Monitors the primary of one service. Pure; not thread-safe.
class PrimaryMonitor {
public:
  explicit PrimaryMonitor(PrimaryMonitorOptions Options = {})
      : Options(Options) {}

  /// Returns the reason to replace the primary now, or None. Rank: the position
  /// of this instance among those that could act, from 0.
  FailoverReason evaluate(const PrimaryObservation &Observed, std::size_t Rank,
                          TimePoint Now);
  /// Whether the primary should be probed on a separate connection.
  [[nodiscard]] bool needsProbe(const PrimaryObservation &Observed,
                                TimePoint Now) const;
  /// Whether this instance considers the primary failed, regardless of its
  /// rank.
  [[nodiscard]] bool suspectsFailure(const PrimaryObservation &Observed,
                                     TimePoint Now) const;
  /// What this instance reports to a promoter that asks whether the primary
  /// responds.
  [[nodiscard]] PrimaryReachability
  reachability(const PrimaryObservation &Observed, TimePoint Now) const;

private:
  PrimaryMonitorOptions Options;
  std::optional<TimePoint> LastEvaluation;
  /// Since when there has been a reason to replace the primary.
  std::optional<TimePoint> ReasonSince;
  /// When the process last resumed after a pause. Silence before this time
  /// doesn't count.
  TimePoint ResumedAt;
};

} // namespace turmericpitch
