// Decides when a service's primary has to be replaced, and by whom.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"

#include <optional>
#include <span>

namespace turmericpitch {

struct PrimaryMonitorOptions {
  /// A primary that leaves this instance's questions unanswered for so long
  /// is asked again on a connection of its own.
  Duration ProbeDelay = std::chrono::milliseconds(150);
  /// Unanswered for so long, it counts as lost. The longest statement on the
  /// users' sheets takes 410 ms, and a probe is answered at once.
  Duration SilenceTimeout = std::chrono::milliseconds(500);
  /// The same where the member's address refuses connections: nothing runs
  /// there. A member that restarts at once is not replaced.
  Duration RefusalTimeout = std::chrono::milliseconds(250);
  /// Further wait for each rank among the instances, so that they seldom
  /// compete: consulting the others takes 80 ms at most, and the record's
  /// closing reaches them within some ten.
  Duration RankDelay = std::chrono::milliseconds(150);
  /// Only so many ranks are waited for so long; of those after them many may
  /// act at a time when several can't, and the loser of two loses one write.
  std::size_t FullDelayRanks = 3;
  Duration LaterRankDelay = std::chrono::milliseconds(20);
  /// A longer gap between two looks means that this process stood still; what
  /// it missed proves nothing.
  Duration MaxEvaluationGap = std::chrono::milliseconds(350);
};

/// What this instance sees of a service's primary. Immutable value.
struct PrimaryObservation {
  /// In the members' list.
  bool Listed = true;
  bool Draining = false;
  /// Since when the primary owes an answer to everything asked; not set if
  /// it owes none.
  std::optional<TimePoint> SilentSince = std::nullopt;
  /// The newest attempt to connect was refused.
  bool Refusing = false;
};

/// How much later than the first an instance of this rank acts. Pure.
Duration rankDelay(const PrimaryMonitorOptions &Options, std::size_t Rank);

enum class FailoverReason : std::uint8_t {
  None,
  Lost,
  Leaving,
  /// All replicas are too far behind to serve reads, and it is overloaded.
  Backlog,
};

/// Whether the primary still runs, so that nothing need be lost.
/// Thread-safe.
bool isPlanned(FailoverReason Reason);

/// The reason's stable name in the decision log. Thread-safe.
std::string_view toString(FailoverReason Reason);

/// Watches one service. Pure; not thread-safe.
class PrimaryMonitor {
public:
  explicit PrimaryMonitor(PrimaryMonitorOptions Options = {})
      : Options(Options) {}

  /// Looks at what is seen. Rank: the own place among the instances that
  /// could act, from 0.
  FailoverReason evaluate(const PrimaryObservation &Observed, std::size_t Rank,
                          TimePoint Now);
  /// Whether the primary should be asked on a connection of its own.
  [[nodiscard]] bool needsProbe(const PrimaryObservation &Observed,
                                TimePoint Now) const;
  /// Whether this instance itself finds the primary lost, whatever its rank.
  [[nodiscard]] bool suspectsFailure(const PrimaryObservation &Observed,
                                     TimePoint Now) const;

private:
  PrimaryMonitorOptions Options;
  std::optional<TimePoint> LastEvaluation;
  /// Since when there has been a reason to act.
  std::optional<TimePoint> ReasonSince;
  /// Silence before this does not count.
  TimePoint ResumedAt;
};

/// A member that could become primary. Immutable value.
struct SuccessorCandidate {
  UpstreamId Id;
  /// The last entry in its log.
  TermPosition Received;
  /// Until it has applied what it received.
  Duration ApplyDelay{0};
};

/// The candidate with the furthest log, among equals the one with the longest
/// backlog, as a promotion ends it; or nothing. Pure; thread-safe.
std::optional<UpstreamId>
chooseSuccessor(std::span<const SuccessorCandidate> Candidates);

} // namespace turmericpitch
