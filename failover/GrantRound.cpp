#include "failover/GrantRound.h"

namespace turmericpitch {

std::vector<GrantedEpoch> GrantRound::onReply(const Grantor &From,
                                              const LeaseReply &Reply) {
  std::vector<GrantedEpoch> Reached;
  if (Reply.Serial != this->Serial || !this->Set.all().contains(From))
    return Reached;
  for (const ServiceReport &Each : Reply.Services) {
    if (!Each.Granted)
      continue;
    GrantedEpoch Epoch{.Service = Each.Record.Service,
                       .Epoch = Each.Record.Epoch};
    std::set<Grantor> &By = this->Granted[Epoch];
    bool HadQuorum = this->Set.hasQuorum(By);
    By.insert(From);
    if (!HadQuorum && this->Set.hasQuorum(By))
      Reached.push_back(std::move(Epoch));
  }
  return Reached;
}

} // namespace turmericpitch
