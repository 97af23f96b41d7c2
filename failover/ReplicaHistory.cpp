#include "failover/ReplicaHistory.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Departures that are remembered. Each sample of the primary covers all that
/// precede it, so of the covered ones only the newest few matter.
constexpr std::size_t MaxDepartures = 16;

} // namespace

void ReplicaHistory::addDeparture(Departure Added) {
  // One entry stands for all processes that are unknown, and one for all that
  // may have run under a member's id before.
  bool Merges = Added.Member.Id.Value.empty() || Added.StartedAgain;
  if (Merges)
    std::erase_if(this->Departures, [&](const Departure &Each) {
      return Each.Member.Id == Added.Member.Id && !Each.CoveredFrom &&
             Each.StartedAgain == Added.StartedAgain &&
             Each.Member.StartedAt == Added.Member.StartedAt;
    });
  this->Departures.push_back(std::move(Added));
  if (this->Departures.size() <= MaxDepartures)
    return;
  auto Oldest =
      std::ranges::find_if(this->Departures, [](const Departure &Each) {
        return Each.CoveredFrom.has_value();
      });
  if (Oldest != this->Departures.end()) {
    this->Departures.erase(Oldest);
    return;
  }
  // What is forgotten without proof counts as unknown.
  TimePoint Now = this->Departures.back().NoticedAt;
  this->Departures.pop_front();
  this->addDeparture({.Member = {}, .NoticedAt = Now});
}

void ReplicaHistory::updateDepartures(
    const std::vector<RegisteredMember> &Registered,
    std::span<const Endpoint> OtherAddresses, TimePoint Now) {
  std::erase_if(this->Departures, [&](Departure &Each) {
    if (Each.Member.Id.Value.empty())
      return false;
    for (const RegisteredMember &Listed : Registered) {
      bool SameProcess = Listed.Id == Each.Member.Id &&
                         Listed.StartedAt == Each.Member.StartedAt;
      if (SameProcess && !Each.EndedAt)
        return true;
      // An entry of an earlier process would be gone by now.
      TimePoint Since =
          std::max(Each.EndedAt.value_or(Now), this->GaplessSince);
      if (SameProcess && Each.StartedAgain && Listed.StartedAt != 0 &&
          *this->ListedAt - Since >= this->Options.EntryLifetime)
        return true;
      bool SameAddress =
          Listed.Id != Each.Member.Id && Listed.Where == Each.Member.Where;
      if (SameAddress && Each.Member.Draining && !Each.StartedAgain)
        return true;
      Each.AddressReused = Each.AddressReused || SameAddress;
      bool Ended = SameAddress || (Listed.Id == Each.Member.Id && !SameProcess);
      if (Ended && !Each.EndedAt)
        Each.EndedAt = Now;
      Each.StartedAgain = Each.StartedAgain || Listed.Id == Each.Member.Id;
    }
    if (std::ranges::find(OtherAddresses, Each.Member.Where) !=
        OtherAddresses.end()) {
      Each.EndedAt = Each.EndedAt.value_or(Now);
      Each.AddressReused = true;
    }
    return false;
  });
}

void ReplicaHistory::onMembers(const std::vector<RegisteredMember> &Registered,
                               TimePoint ListedAt, TimePoint Now,
                               std::span<const Endpoint> OtherAddresses) {
  // Who departed before the first list, or in a gap, is unknown.
  if (!this->ListedAt ||
      ListedAt - *this->ListedAt > this->Options.MaxListingGap) {
    this->addDeparture({.Member = {}, .NoticedAt = Now});
    this->GaplessSince = ListedAt;
  }
  this->ListedAt = std::max(this->ListedAt.value_or(ListedAt), ListedAt);
  std::map<UpstreamId, RegisteredMember> Next;
  for (const RegisteredMember &Each : Registered)
    Next.emplace(Each.Id, Each);
  for (const auto &[Id, Member] : this->Members) {
    auto Still = Next.find(Id);
    if (Still == Next.end())
      this->addDeparture({.Member = Member, .NoticedAt = Now});
    else if (Still->second.StartedAt != Member.StartedAt)
      this->addDeparture({.Member = Member,
                          .NoticedAt = Now,
                          .EndedAt = Now,
                          .StartedAgain = true});
  }
  this->updateDepartures(Registered, OtherAddresses, Now);
  this->Members = std::move(Next);
  std::erase_if(this->Connections, [&](const auto &Each) {
    return !this->Members.contains(Each.first) &&
           std::ranges::none_of(this->Departures, [&](const Departure &Gone) {
             return Gone.Member.Id == Each.first && isUnlisted(Gone);
           });
  });
}

bool ReplicaHistory::isUnlisted(const Departure &Each) {
  return !Each.Member.Id.Value.empty() && !Each.StartedAgain &&
         !Each.AddressReused;
}

void ReplicaHistory::onConnected(const UpstreamId &Id, TimePoint ConnectedAt) {
  RegisteredMember Member;
  auto Gone = std::ranges::find_if(this->Departures, [&](const auto &Each) {
    return Each.Member.Id == Id && isUnlisted(Each);
  });
  if (auto Found = this->Members.find(Id); Found != this->Members.end())
    Member = Found->second;
  else if (Gone != this->Departures.end())
    Member = Gone->Member;
  else
    return;
  auto [Known, Added] = this->Connections.try_emplace(Id, ConnectedAt);
  if (!Added && Known->second == ConnectedAt)
    return;
  Known->second = ConnectedAt;
  // It runs again, without an entry.
  if (Gone != this->Departures.end()) {
    Gone->EndedAt.reset();
    Gone->CoveredFrom.reset();
  }
  this->addDeparture({.Member = std::move(Member),
                      .NoticedAt = ConnectedAt,
                      .EndedAt = ConnectedAt,
                      .StartedAgain = true});
}

void ReplicaHistory::onAddressAnswered(const UpstreamId &Id, bool InUse,
                                       TimePoint AskedAt,
                                       TimePoint AnsweredAt) {
  for (Departure &Each : this->Departures) {
    if (Each.Member.Id != Id || !isUnlisted(Each))
      continue;
    if (InUse) {
      // A member that isn't listed yet may confirm commits.
      Each.EndedAt.reset();
      Each.CoveredFrom.reset();
      Each.VacantAt.reset();
      continue;
    }
    Each.EndedAt = Each.EndedAt.value_or(AnsweredAt);
    Each.VacantAt = AskedAt;
  }
}

std::optional<TimePoint>
ReplicaHistory::coverableFrom(const Departure &Each) const {
  if (Each.Member.Id.Value.empty())
    return Each.NoticedAt + this->Options.UnlistedTimeout;
  return Each.EndedAt;
}

void ReplicaHistory::onSample(const PrimarySample &Sample) {
  for (Departure &Each : this->Departures) {
    auto From = this->coverableFrom(Each);
    if (!Each.CoveredFrom && From && Sample.AskedAt >= *From)
      Each.CoveredFrom = Sample.Reached;
  }
}

std::vector<DepartedReplica> ReplicaHistory::departed() const {
  std::vector<DepartedReplica> All;
  for (const Departure &Each : this->Departures)
    All.push_back({.Id = Each.Member.Id,
                   .Ended = Each.EndedAt.has_value(),
                   .CoveredFrom = Each.CoveredFrom,
                   .VacantAt = isUnlisted(Each)
                                   ? Each.VacantAt
                                   : std::optional(TimePoint::max())});
  return All;
}

std::vector<RegisteredMember> ReplicaHistory::unlisted() const {
  std::vector<RegisteredMember> All;
  for (const Departure &Each : this->Departures)
    if (isUnlisted(Each))
      All.push_back(Each.Member);
  return All;
}

bool ReplicaHistory::needsSample(TimePoint Now) const {
  return std::ranges::any_of(this->Departures, [&](const Departure &Each) {
    auto From = this->coverableFrom(Each);
    return !Each.CoveredFrom && From && *From <= Now;
  });
}

bool ReplicaHistory::knowsAll() const {
  return this->ListedAt &&
         std::ranges::none_of(this->Departures, [](const Departure &Each) {
           return Each.Member.Id.Value.empty() && !Each.CoveredFrom;
         });
}

} // namespace turmericpitch
