#include "membership/ZoneReachability.h"

#include <algorithm>

namespace turmericpitch {

void ZoneReachability::onZoneDiscovered(const ZoneId &Zone, TimePoint Now) {
  this->LastContact.try_emplace(Zone, Now);
}

void ZoneReachability::onContact(const ZoneId &Zone, TimePoint Now) {
  TimePoint &Last = this->LastContact[Zone];
  Last = std::max(Last, Now);
}

void ZoneReachability::onReportedAges(const std::vector<ZoneAge> &Ages,
                                      TimePoint Now) {
  for (auto &[Zone, Last] : this->LastContact) {
    std::uint32_t Key = zoneKey(Zone);
    for (const ZoneAge &Each : Ages)
      if (Each.Zone == Key)
        Last = std::max(Last, Now - Each.Age);
  }
}

void ZoneReachability::onPaused(Duration Pause) {
  for (auto &[Zone, Last] : this->LastContact)
    Last += Pause;
}

std::vector<ZoneAge> ZoneReachability::ages(TimePoint Now) const {
  std::vector<ZoneAge> Ages;
  Ages.reserve(this->LastContact.size());
  for (const auto &[Zone, Last] : this->LastContact)
    if (Ages.size() < MaxZoneAges)
      Ages.push_back({.Zone = zoneKey(Zone), .Age = Now - Last});
  return Ages;
}

std::optional<Duration> ZoneReachability::silence(const ZoneId &Zone,
                                                  TimePoint Now) const {
  auto Found = this->LastContact.find(Zone);
  if (Found == this->LastContact.end())
    return std::nullopt;
  return Now - Found->second;
}

} // namespace turmericpitch
