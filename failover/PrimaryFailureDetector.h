// Decides when the primary of a database is replaced and which promoter acts.
#pragma once

#include "core/Identifiers.h"
#include "routing/UpstreamView.h"

namespace turmericpitch {

struct PrimaryFailureDetectorOptions {
  /// Time without a reply after which a primary counts as failed.
  Duration SilenceTimeout = std::chrono::milliseconds(200);
  /// Further delay for each rank, so that promoters seldom compete.
  Duration RankDelay = std::chrono::milliseconds(150);
  /// A longer gap between two evaluations means that this process was paused.
  /// Replies missed during the pause don't count as silence of the primary.
  Duration MaxEvaluationGap = std::chrono::milliseconds(250);
};

/// The action to take on the primary of one database.
enum class PrimaryDecision {
  Wait,
  /// The primary has failed.
  Promote,
  /// The primary is marked as leaving, and the other members are a majority.
  HandOver,
};

/// Monitors one database. Pure; not thread-safe.
class PrimaryFailureDetector {
public:
  explicit PrimaryFailureDetector(PrimaryFailureDetectorOptions Options);

  /// Evaluates the newest view. Rank: the position of this instance among the
  /// promoters, from 0; only rank 0 hands over. Returns Promote at most once
  /// per expired delay.
  PrimaryDecision evaluate(const DatabaseView &View, std::size_t Rank,
                           TimePoint Now);

private:
  PrimaryFailureDetectorOptions Options;
  std::optional<TimePoint> SilentSince;
  std::optional<TimePoint> LastEvaluation;
};

} // namespace turmericpitch
