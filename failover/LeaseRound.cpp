#include "failover/LeaseRound.h"

namespace turmericpitch {

LeaseRound::LeaseRound(std::uint32_t Serial, TimePoint SentAt,
                       std::set<InstanceId> Asked)
    : Serial(Serial), SentAt(SentAt), Asked(Asked.size()),
      Missing(std::move(Asked)) {}

void LeaseRound::onAnswer(const InstanceId &From, const LeaseReply &Answer) {
  if (Answer.Serial != this->Serial || !this->Missing.contains(From) ||
      !this->Seen[From].insert(Answer.Part).second)
    return;
  for (const ServiceReport &Each : Answer.Services) {
    if (Each.Granted)
      ++this->Grants[{.Service = Each.Record.Service,
                      .Epoch = Each.Record.Epoch}];
    ReachabilityCounts &Tally = this->Contacts[Each.Record.Service];
    Tally.Answers += Each.Contact == PrimaryReachability::Answers ? 1 : 0;
    Tally.Silent += Each.Contact == PrimaryReachability::Silent ? 1 : 0;
  }
  if (this->Seen[From].size() == Answer.Parts)
    this->Missing.erase(From);
}

std::vector<GrantedEpoch> LeaseRound::granted() const {
  std::vector<GrantedEpoch> All;
  if (!this->complete())
    return All;
  for (const auto &[Epoch, Count] : this->Grants)
    if (Count == this->Asked)
      All.push_back(Epoch);
  return All;
}

ReachabilityCounts LeaseRound::contacts(const ServiceId &Id) const {
  auto Found = this->Contacts.find(Id);
  return Found == this->Contacts.end() ? ReachabilityCounts{} : Found->second;
}

} // namespace turmericpitch
