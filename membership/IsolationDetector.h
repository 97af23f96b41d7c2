// Notices that this instance is on the wrong side of a partition.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

struct IsolationDetectorOptions {
  /// Without contact for so long, the others are asked out of turn. What a
  /// reader tells is up to 410 ms old: it reads each 250 ms and is asked each
  /// 150 ms.
  Duration QueryAfter = std::chrono::milliseconds(450);
  /// Without contact for so long, the instance counts as cut off; several
  /// questions to everyone have then stayed unanswered.
  Duration ContactTimeout = std::chrono::milliseconds(700);
  /// Without a right to any primary for so long, while others that may hold
  /// one are silent, the instance counts as cut off too.
  Duration LeaseLossTimeout = std::chrono::milliseconds(400);
  /// Others that fell silent this much later than the store do not have it
  /// either: it was away before. A partition is noticed towards both within
  /// about a second.
  Duration CommonCauseWindow = std::chrono::milliseconds(1500);
  /// Contact must last for so long before the instance counts as back.
  Duration RecoveryHoldDown = std::chrono::milliseconds(300);
};

/// What an instance sees of the world outside it. Immutable value.
struct ConnectivityView {
  /// The newest contact with the store or an instance of another zone;
  /// nothing before the first.
  std::optional<TimePoint> LastContactAt = std::nullopt;
  /// Whether an instance of another zone is listed.
  bool OtherZonesListed = false;
  /// Since when the first listed instance of another zone has left questions
  /// unanswered; nothing if all answer.
  std::optional<TimePoint> OtherZonesSilentSince = std::nullopt;
  /// The newest sign of the store itself.
  std::optional<TimePoint> StoreContactAt = std::nullopt;
  /// Since when there has been no right to any primary; nothing while there
  /// is one.
  std::optional<TimePoint> LeasesLostAt = std::nullopt;
};

/// An instance that is cut off can prove no right to a primary, so callers
/// are served better in other zones: it reports itself as not ready, and the
/// balancer leads new sessions there. Pure; not thread-safe.
class IsolationDetector {
public:
  explicit IsolationDetector(IsolationDetectorOptions Options = {})
      : Options(Options) {}

  /// Returns whether the verdict has changed.
  bool update(const ConnectivityView &View, TimePoint Now);
  /// Whether the others should be asked out of turn.
  [[nodiscard]] bool shouldQueryPeers(const ConnectivityView &View,
                                      TimePoint Now) const;
  [[nodiscard]] bool isolated() const {
    return this->IsolatedSince.has_value();
  }
  /// For how long it has been cut off; 0 if it isn't.
  [[nodiscard]] Duration isolatedFor(TimePoint Now) const;

private:
  [[nodiscard]] bool meetsIsolationCriteria(const ConnectivityView &View,
                                            TimePoint Now) const;

  IsolationDetectorOptions Options;
  std::optional<TimePoint> IsolatedSince;
  std::optional<TimePoint> ContactRestoredAt;
};

} // namespace turmericpitch
