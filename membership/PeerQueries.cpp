#include "membership/PeerQueries.h"

#include <algorithm>

namespace turmericpitch {

const PeerQueries::Peer *PeerQueries::find(const InstanceId &Id) const {
  auto Found = this->Peers.find(Id);
  return Found == this->Peers.end() ? nullptr : &Found->second;
}

void PeerQueries::forgetUnregistered() {
  std::erase_if(this->Peers, [this](const auto &Entry) {
    return !this->Instances.find(Entry.first);
  });
}

void PeerQueries::onSent(const InstanceId &Peer, std::uint32_t Serial,
                         TimePoint SentAt) {
  if (this->Peers.size() >= this->Instances.count() + MaxUnregistered &&
      !this->Peers.contains(Peer))
    this->forgetUnregistered();
  auto &Known = this->Peers[Peer];
  Known.Pending.push_back({.Serial = Serial, .SentAt = SentAt});
  if (Known.Pending.size() > MaxPending)
    Known.Pending.pop_front();
  const RegisteredInstance *Entry = this->Instances.find(Peer);
  Revision Registered = Entry ? Entry->Stored : Revision{};
  if (!Known.Silent || Known.Silent->Registered != Registered)
    Known.Silent = {.Registered = Registered, .Since = SentAt};
}

void PeerQueries::onReply(const InstanceId &Peer, bool Stopping,
                          TimePoint Now) {
  const RegisteredInstance *Entry = this->Instances.find(Peer);
  auto Found = this->Peers.find(Peer);
  if (Found == this->Peers.end() && Entry)
    Found = this->Peers.try_emplace(Peer).first;
  if (Found == this->Peers.end())
    return;
  Found->second.Silent.reset();
  Found->second.LastReplyAt = Now;
  if (Stopping && Entry)
    Found->second.Stopping = Entry->Stored;
}

std::optional<TimePoint> PeerQueries::sentAt(const InstanceId &Peer,
                                             std::uint32_t Serial) const {
  const auto *Known = this->find(Peer);
  if (!Known)
    return std::nullopt;
  for (const SentQuery &Each : Known->Pending)
    if (Each.Serial == Serial)
      return Each.SentAt;
  return std::nullopt;
}

std::optional<TimePoint>
PeerQueries::silentSince(const InstanceId &Peer) const {
  const auto *Known = this->find(Peer);
  if (!Known || !Known->Silent)
    return std::nullopt;
  return Known->Silent->Since;
}

bool PeerQueries::isStopping(const RegisteredInstance &Peer) const {
  const auto *Known = this->find(Peer.Id);
  return Known && Known->Stopping == Peer.Stored;
}

std::optional<TimePoint>
PeerQueries::lastReplyOutside(const ZoneId &Zone) const {
  std::optional<TimePoint> Newest;
  for (const RegisteredInstance &Each : this->Instances.all()) {
    const auto *Known = this->find(Each.Id);
    if (Each.Zone != Zone && Known)
      Newest = std::max(Newest, Known->LastReplyAt);
  }
  return Newest;
}

std::optional<TimePoint> PeerQueries::silentOutsideSince(const ZoneId &Zone,
                                                         Duration Limit,
                                                         TimePoint Now) const {
  std::optional<TimePoint> First;
  for (const RegisteredInstance &Each : this->Instances.all()) {
    auto Since = this->silentSince(Each.Id);
    if (Each.Zone == Zone || this->isStopping(Each) || !Since ||
        Now - *Since <= Limit)
      continue;
    First = std::min(First.value_or(*Since), *Since);
  }
  return First;
}

} // namespace turmericpitch
