#include "membership/ZoneReachability.h"

#include <algorithm>

namespace turmericpitch {

void ZoneReachability::onKnown(const ZoneId &Zone, TimePoint Now) {
  this->LastHeard.try_emplace(Zone, Now);
}

void ZoneReachability::onHeard(const ZoneId &Zone, TimePoint Now) {
  TimePoint &Last = this->LastHeard[Zone];
  Last = std::max(Last, Now);
}

void ZoneReachability::onAges(const std::vector<ZoneAge> &Ages, TimePoint Now) {
  for (auto &[Zone, Last] : this->LastHeard) {
    std::uint32_t Key = zoneKey(Zone);
    for (const ZoneAge &Each : Ages)
      if (Each.Zone == Key)
        Last = std::max(Last, Now - Each.Age);
  }
}

void ZoneReachability::onPaused(Duration Pause) {
  for (auto &[Zone, Last] : this->LastHeard)
    Last += Pause;
}

std::vector<ZoneAge> ZoneReachability::ages(TimePoint Now) const {
  std::vector<ZoneAge> Ages;
  Ages.reserve(this->LastHeard.size());
  for (const auto &[Zone, Last] : this->LastHeard)
    if (Ages.size() < MaxZoneAges)
      Ages.push_back({.Zone = zoneKey(Zone), .Age = Now - Last});
  return Ages;
}

std::optional<Duration> ZoneReachability::silence(const ZoneId &Zone,
                                                  TimePoint Now) const {
  auto Found = this->LastHeard.find(Zone);
  if (Found == this->LastHeard.end())
    return std::nullopt;
  return Now - Found->second;
}

} // namespace turmericpitch
