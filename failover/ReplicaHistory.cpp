#include "failover/ReplicaHistory.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Departures that are remembered. Each sample of the primary covers all that
/// precede it, so only the newest few matter.
constexpr std::size_t MaxDepartures = 16;

/// Whether Next has the log of a member that drained.
bool takesOver(const RegisteredMember &Next, const RegisteredMember &Former) {
  return Former.Draining && Next.Id != Former.Id && Next.Where == Former.Where;
}

} // namespace

void ReplicaHistory::addDeparture(const RegisteredMember &Member,
                                  TimePoint Now) {
  this->Departures.push_back(
      {.Member = Member, .NoticedAt = Now, .CoveredFrom = std::nullopt});
  if (this->Departures.size() > MaxDepartures)
    this->Departures.pop_front();
}

void ReplicaHistory::onMembers(const std::vector<RegisteredMember> &Registered,
                               TimePoint ListedAt, TimePoint Now) {
  // Who departed before the first list, or in a gap, is unknown.
  if (!this->ListedAt ||
      ListedAt - *this->ListedAt > this->Options.MaxListingGap)
    this->addDeparture({}, Now);
  this->ListedAt = std::max(this->ListedAt.value_or(ListedAt), ListedAt);
  std::map<UpstreamId, RegisteredMember> Next;
  for (const RegisteredMember &Each : Registered)
    Next.emplace(Each.Id, Each);
  for (const auto &[Id, Member] : this->Members) {
    auto Still = Next.find(Id);
    if (Still == Next.end() || Still->second.StartedAt != Member.StartedAt)
      this->addDeparture(Member, Now);
  }
  std::erase_if(this->Departures, [&](const Departure &Each) {
    return std::ranges::any_of(Registered, [&](const RegisteredMember &Member) {
      return takesOver(Member, Each.Member);
    });
  });
  this->Members = std::move(Next);
}

void ReplicaHistory::onSample(const PrimarySample &Sample) {
  for (Departure &Each : this->Departures)
    if (!Each.CoveredFrom && Sample.AskedAt >= Each.NoticedAt)
      Each.CoveredFrom = Sample.Reached;
}

std::vector<DepartedReplica> ReplicaHistory::departed() const {
  std::vector<DepartedReplica> All;
  for (const Departure &Each : this->Departures)
    All.push_back({.Id = Each.Member.Id, .CoveredFrom = Each.CoveredFrom});
  return All;
}

} // namespace turmericpitch
