// Which zones can be heard from here.
#pragma once

#include "core/Time.h"
#include "membership/MembershipMessage.h"

#include <map>
#include <optional>

namespace turmericpitch {

/// When each zone was last heard from, by this instance or one of its zone.
/// Constant size for each zone, so a region that loses another one has
/// nothing to tell about single instances. Not thread-safe.
class ZoneReachability {
public:
  /// A zone first learnt of counts as heard from.
  void onZoneDiscovered(const ZoneId &Zone, TimePoint Now);
  void onContact(const ZoneId &Zone, TimePoint Now);
  /// What an instance of the own zone says. Unknown zones are ignored.
  void onReportedAges(const std::vector<ZoneAge> &Ages, TimePoint Now);
  /// After a pause of this process nothing could be heard.
  void onPaused(Duration Pause);

  [[nodiscard]] std::vector<ZoneAge> ages(TimePoint Now) const;
  /// How long ago the zone was heard from; an unknown one never was.
  [[nodiscard]] std::optional<Duration> silence(const ZoneId &Zone,
                                                TimePoint Now) const;

private:
  std::map<ZoneId, TimePoint> LastContact;
};

} // namespace turmericpitch
