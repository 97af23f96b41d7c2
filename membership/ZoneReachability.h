// Tracks from which zones messages arrive.
#pragma once

#include "core/Time.h"
#include "membership/MembershipMessage.h"

#include <map>
#include <optional>

namespace turmericpitch {

/// When this instance, or another one of its zone, last received a message from
/// each zone. The state per zone has a constant size, so a region that loses
/// contact with another one does not send updates about single instances. Not
/// thread-safe.
class ZoneReachability {
public:
  /// Records a zone. A zone that was unknown counts as contacted at Now.
  void onZoneDiscovered(const ZoneId &Zone, TimePoint Now);
  void onContact(const ZoneId &Zone, TimePoint Now);
  /// Applies the ages that an instance of the same zone reports. Unknown zones
  /// are ignored.
  void onReportedAges(const std::vector<ZoneAge> &Ages, TimePoint Now);
  /// Excludes a pause of this process, in which it could not receive messages,
  /// from all silences.
  void onPaused(Duration Pause);

  [[nodiscard]] std::vector<ZoneAge> ages(TimePoint Now) const;
  /// Time since the last message from the zone, or nothing if the zone is
  /// unknown.
  [[nodiscard]] std::optional<Duration> silence(const ZoneId &Zone,
                                                TimePoint Now) const;

private:
  std::map<ZoneId, TimePoint> LastContact;
};

} // namespace turmericpitch
