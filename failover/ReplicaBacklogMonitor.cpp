#include "failover/ReplicaBacklogMonitor.h"

namespace turmericpitch {

bool ReplicaBacklogMonitor::needsReports(bool ReadsUnavailable,
                                         std::size_t Rank, TimePoint Now) {
  if (!ReadsUnavailable) {
    this->UnavailableSince.reset();
    return false;
  }
  if (!this->UnavailableSince)
    this->UnavailableSince = Now;
  Duration Wait = this->Options.QueryDelay +
                  this->Options.RankDelay * static_cast<Duration::rep>(Rank);
  bool QueriedRecently =
      this->QueriedAt && Now - *this->QueriedAt < this->Options.QueryInterval;
  if (Now - *this->UnavailableSince < Wait || QueriedRecently)
    return false;
  this->QueriedAt = Now;
  return true;
}

bool ReplicaBacklogMonitor::shouldHandOver(
    std::span<const MemberBacklog> Reports, Duration LoosestAge) const {
  const MemberBacklog *Primary = nullptr;
  for (const MemberBacklog &Each : Reports)
    if (Each.Primary)
      Primary = &Each;
  if (!Primary ||
      static_cast<double>(Primary->StatementCount) <=
          this->Options.OverloadFactor * static_cast<double>(Primary->Slots))
    return false;
  bool AnySuccessor = false;
  for (const MemberBacklog &Each : Reports) {
    if (Each.Primary)
      continue;
    if (Each.ApplyDelay < LoosestAge)
      return false;
    bool WithinReceiveLag =
        Each.Received.WrittenIn == Primary->Received.WrittenIn &&
        Each.Received.Position.Value + this->Options.MaxReceiveLag >=
            Primary->Received.Position.Value;
    AnySuccessor =
        AnySuccessor || (WithinReceiveLag &&
                         Each.ApplyDelay >= this->Options.MinHandOverBacklog);
  }
  return AnySuccessor;
}

} // namespace turmericpitch
