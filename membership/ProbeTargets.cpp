#include "membership/ProbeTargets.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr double MaxCrossZoneShare = 0.5;
/// Periods within which the instances of this zone together should probe each
/// other zone.
constexpr double PeriodsPerZone = 3;
constexpr unsigned PickAttempts = 8;

template <typename T>
void shuffle(std::vector<T> &Items, RandomSource &Random) {
  for (std::size_t Left = Items.size(); Left > 1; --Left)
    std::swap(Items[Left - 1],
              Items[Random.nextBelow(static_cast<std::uint32_t>(Left))]);
}

const InstanceId &pickOne(const std::vector<InstanceId> &From,
                          RandomSource &Random) {
  return From[Random.nextBelow(static_cast<std::uint32_t>(From.size()))];
}

} // namespace

ProbeTargets::ProbeTargets(InstanceId Self, ZoneId Zone, double CrossZoneShare)
    : Self(std::move(Self)), Zone(std::move(Zone)),
      CrossZoneShare(CrossZoneShare) {}

bool ProbeTargets::isProbeTarget(const InstanceTable &Table,
                                 const InstanceId &Id) const {
  const KnownInstance *Known = Table.find(Id);
  return Known && Id != this->Self &&
         Known->Record.Health != InstanceHealth::Dead;
}

double ProbeTargets::crossZoneProbeShare(const InstanceTable &Table) const {
  std::size_t Own = Table.notDeadInZone(this->Zone);
  std::size_t Others = Table.zones().size() - Table.zones().count(this->Zone);
  if (Others == 0)
    return 0;
  if (Own <= 1)
    return 1;
  double Needed =
      static_cast<double>(Others) / (PeriodsPerZone * static_cast<double>(Own));
  return std::clamp(Needed, this->CrossZoneShare, MaxCrossZoneShare);
}

std::optional<InstanceId> ProbeTargets::next(const InstanceTable &Table,
                                             RandomSource &Random) {
  bool CrossZone = Random.chance(this->crossZoneProbeShare(Table));
  auto First = CrossZone ? this->nextInOtherZone(Table, Random)
                         : this->nextInZone(Table, Random);
  if (First)
    return First;
  return CrossZone ? this->nextInZone(Table, Random)
                   : this->nextInOtherZone(Table, Random);
}

std::optional<InstanceId> ProbeTargets::nextInZone(const InstanceTable &Table,
                                                   RandomSource &Random) {
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (!this->OwnZoneRound.empty()) {
      InstanceId Next = std::move(this->OwnZoneRound.back());
      this->OwnZoneRound.pop_back();
      if (this->isProbeTarget(Table, Next))
        return Next;
    }
    auto Own = Table.zones().find(this->Zone);
    if (Own == Table.zones().end())
      return std::nullopt;
    this->OwnZoneRound = Own->second;
    shuffle(this->OwnZoneRound, Random);
  }
  return std::nullopt;
}

std::optional<InstanceId>
ProbeTargets::nextInOtherZone(const InstanceTable &Table,
                              RandomSource &Random) {
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (!this->OtherZonesRound.empty()) {
      auto Found = Table.zones().find(this->OtherZonesRound.back());
      this->OtherZonesRound.pop_back();
      if (Found == Table.zones().end() || Found->second.empty())
        continue;
      for (unsigned Attempt = 0; Attempt < PickAttempts; ++Attempt) {
        const InstanceId &Picked = pickOne(Found->second, Random);
        if (this->isProbeTarget(Table, Picked))
          return Picked;
      }
    }
    for (const auto &[Each, Members] : Table.zones())
      if (Each != this->Zone)
        this->OtherZonesRound.push_back(Each);
    shuffle(this->OtherZonesRound, Random);
  }
  return std::nullopt;
}

std::vector<InstanceId> ProbeTargets::pickPeers(const InstanceTable &Table,
                                                const InstanceId &Except,
                                                std::size_t Count,
                                                RandomSource &Random) const {
  std::vector<const std::vector<InstanceId> *> CandidateLists;
  auto Own = Table.zones().find(this->Zone);
  if (Own != Table.zones().end())
    CandidateLists.push_back(&Own->second);
  for (const auto &[Each, Members] : Table.zones())
    if (Each != this->Zone && CandidateLists.size() <= Count)
      CandidateLists.push_back(&Members);
  std::vector<InstanceId> Chosen;
  for (const auto *Candidates : CandidateLists) {
    for (std::size_t Attempt = 0; Attempt < Count * 2; ++Attempt) {
      if (Chosen.size() >= Count || Candidates->empty())
        break;
      const InstanceId &Picked = pickOne(*Candidates, Random);
      bool AlreadyChosen =
          std::find(Chosen.begin(), Chosen.end(), Picked) != Chosen.end();
      if (!AlreadyChosen && Picked != Except &&
          this->isProbeTarget(Table, Picked))
        Chosen.push_back(Picked);
    }
  }
  return Chosen;
}

} // namespace turmericpitch
