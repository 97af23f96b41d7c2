// Detects that a partition has isolated this instance.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

struct IsolationDetectorOptions {
  /// Time without contact after which the other instances are queried at once,
  /// outside the regular interval. A reader's report is up to 410 ms old: it
  /// reads the store every 250 ms and is queried every 150 ms.
  Duration QueryAfter = std::chrono::milliseconds(450);
  /// Time without contact after which the instance counts as isolated. By then
  /// several queries to all other instances have gone unanswered.
  Duration ContactTimeout = std::chrono::milliseconds(700);
  /// Time without a lease on any primary after which the instance also counts
  /// as isolated, if other instances that may hold one are silent.
  Duration LeaseLossTimeout = std::chrono::milliseconds(400);
  /// Longest time from the last contact with the store to the silence of the
  /// other instances for both to have the same cause. A partition is noticed
  /// towards both within about a second. If the others fell silent later than
  /// this, the store was unreachable before, so they have no contact with it
  /// either.
  Duration CommonCauseWindow = std::chrono::milliseconds(1500);
  /// Time for which contact must last before the isolation ends.
  Duration RecoveryHoldDown = std::chrono::milliseconds(300);
};

/// An instance's contacts with the store and other instances. Immutable value.
struct ConnectivityView {
  /// The last contact with the store or an instance of another zone; nothing
  /// before the first contact.
  std::optional<TimePoint> LastContactAt = std::nullopt;
  /// Whether an instance of another zone is listed.
  bool OtherZonesListed = false;
  /// The earliest time since which a listed instance of another zone has left
  /// queries unanswered; nothing if all answer.
  std::optional<TimePoint> OtherZonesSilentSince = std::nullopt;
  /// The last contact with the store itself.
  std::optional<TimePoint> StoreContactAt = std::nullopt;
  /// Since when this instance has held no lease on any primary; nothing while
  /// it holds one.
  std::optional<TimePoint> LeasesLostAt = std::nullopt;
};

/// Decides whether this instance is isolated. An isolated instance holds no
/// provable lease on a primary, so it reports itself as not ready and the load
/// balancer routes new sessions to other zones. Performs no I/O; not
/// thread-safe.
class IsolationDetector {
public:
  explicit IsolationDetector(IsolationDetectorOptions Options = {})
      : Options(Options) {}

  /// Updates the state. Returns whether isolated() has changed.
  bool update(const ConnectivityView &View, TimePoint Now);
  /// Whether the other instances should be queried outside the regular
  /// interval.
  [[nodiscard]] bool shouldQueryPeers(const ConnectivityView &View,
                                      TimePoint Now) const;
  [[nodiscard]] bool isolated() const {
    return this->IsolatedSince.has_value();
  }
  /// For how long the instance has been isolated; 0 if it isn't.
  [[nodiscard]] Duration isolatedFor(TimePoint Now) const;

private:
  [[nodiscard]] bool meetsIsolationCriteria(const ConnectivityView &View,
                                            TimePoint Now) const;

  IsolationDetectorOptions Options;
  std::optional<TimePoint> IsolatedSince;
  std::optional<TimePoint> ContactRestoredAt;
};

} // namespace turmericpitch
