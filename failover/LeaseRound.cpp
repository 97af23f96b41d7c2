#include "failover/LeaseRound.h"

namespace turmericpitch {

LeaseRound::LeaseRound(std::uint32_t Serial, TimePoint SentAt,
                       std::set<InstanceId> Queried)
    : Serial(Serial), SentAt(SentAt), Pending(std::move(Queried)) {}

void LeaseRound::onReply(const InstanceId &From, const LeaseReply &Reply) {
  if (Reply.Serial != this->Serial || !this->Pending.contains(From) ||
      !this->ReceivedParts[From].insert(Reply.Part).second)
    return;
  for (const ServiceReport &Each : Reply.Services) {
    ReachabilityCounts &Counts = this->Reachability[Each.Record.Service];
    Counts.Responding +=
        Each.Reachability == PrimaryReachability::Responding ? 1 : 0;
    Counts.Silent += Each.Reachability == PrimaryReachability::Silent ? 1 : 0;
  }
  if (this->ReceivedParts[From].size() == Reply.Parts)
    this->Pending.erase(From);
}

ReachabilityCounts LeaseRound::reachability(const ServiceId &Id) const {
  auto Found = this->Reachability.find(Id);
  return Found == this->Reachability.end() ? ReachabilityCounts{}
                                           : Found->second;
}

} // namespace turmericpitch
