// Decides when a database's primary is lost and who promotes.
#pragma once

#include "core/Identifiers.h"
#include "routing/UpstreamView.h"

namespace turmericpitch {

struct LossDetectorOptions {
  InstanceId Self;
  /// All instances that may promote, own included.
  std::vector<InstanceId> Instances;
  /// Silence after which a primary counts as lost.
  Duration SilenceLimit = std::chrono::milliseconds(200);
  /// Further silence for each rank, so that promoters seldom duel.
  Duration RankDelay = std::chrono::milliseconds(150);
  /// A longer gap between two looks means that this process was paused, and
  /// that what it missed proves nothing.
  Duration OwnPauseLimit = std::chrono::milliseconds(250);
};

/// Own place among the instances for a database, from 0, by rendezvous
/// hashing. Pure; thread-safe.
std::size_t promoterRank(const DatabaseId &Id,
                         const LossDetectorOptions &Options);

/// What should be done about one database's primary.
enum class PrimaryVerdict { Wait, Promote };

/// Watches one database. Pure; not thread-safe.
class LossDetector {
public:
  explicit LossDetector(LossDetectorOptions Options);

  /// Looks at the newest view. Promote is returned at most once for each
  /// delay that runs out.
  PrimaryVerdict look(const DatabaseView &View, TimePoint Now);

private:
  LossDetectorOptions Options;
  std::optional<TimePoint> SilentSince;
  std::optional<TimePoint> LastLook;
};

} // namespace turmericpitch
