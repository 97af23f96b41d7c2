// Decides when a database's primary is to be replaced and by whom.
#pragma once

#include "core/Identifiers.h"
#include "routing/UpstreamView.h"

namespace turmericpitch {

struct PrimaryFailureDetectorOptions {
  /// Silence after which a primary counts as lost.
  Duration SilenceTimeout = std::chrono::milliseconds(200);
  /// Further silence for each rank, so that promoters seldom duel.
  Duration RankDelay = std::chrono::milliseconds(150);
  /// A longer gap between two looks means that this process was paused, and
  /// that what it missed proves nothing.
  Duration MaxEvaluationGap = std::chrono::milliseconds(250);
};

/// What should be done about one database's primary.
enum class PrimaryVerdict {
  Wait,
  /// The primary is lost.
  Promote,
  /// The primary is marked as leaving and the others can do without it.
  HandOver,
};

/// Watches one database. Pure; not thread-safe.
class PrimaryFailureDetector {
public:
  explicit PrimaryFailureDetector(PrimaryFailureDetectorOptions Options);

  /// Looks at the newest view. Rank is the own place among the promoters,
  /// from 0; only the first one hands over. Promote is returned at most once
  /// for each delay that runs out.
  PrimaryVerdict evaluate(const DatabaseView &View, std::size_t Rank,
                          TimePoint Now);

private:
  PrimaryFailureDetectorOptions Options;
  std::optional<TimePoint> SilentSince;
  std::optional<TimePoint> LastEvaluation;
};

} // namespace turmericpitch
