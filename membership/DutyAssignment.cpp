#include "membership/DutyAssignment.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <map>
#include <xxhash.h>

namespace turmericpitch {

namespace {

std::uint64_t hashOf(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::uint64_t hashOf(const DutyKey &Key) {
  return XXH3_64bits_withSeed(Key.Subject.data(), Key.Subject.size(),
                              static_cast<std::uint64_t>(Key.Kind) + 1);
}

/// Combines two hashes. The result is the same on every machine.
std::uint64_t mix(std::uint64_t Left, std::uint64_t Right) {
  constexpr std::uint64_t Multiplier = 0x9FB21C651E98DF25ULL;
  constexpr unsigned Shift = 32;
  std::uint64_t Value = (Left ^ std::rotl(Right, Shift)) * Multiplier;
  Value ^= Value >> Shift;
  Value *= Multiplier;
  return Value ^ (Value >> Shift);
}

/// Weighted rendezvous hashing: a zone has the highest score with a
/// probability proportional to its weight.
double weightedScore(std::uint64_t Hash, double Weight) {
  constexpr double Scale = 18446744073709551616.0;
  double Uniform = (static_cast<double>(Hash) + 1) / (Scale + 2);
  return -Weight / std::log(Uniform);
}

} // namespace

std::string_view toString(Duty Duty) {
  switch (Duty) {
  case Duty::Watch:
    return "watch";
  case Duty::Observe:
    return "observe";
  case Duty::Promote:
    return "promote";
  case Duty::KeepShares:
    break;
  }
  return "keep_shares";
}

DutyAssignment::DutyAssignment(const MembershipSnapshot &Snapshot) {
  std::map<ZoneId, std::vector<Candidate>> ByZone;
  for (const InstanceView &Each : Snapshot.instances())
    if (Each.State == InstanceState::Live)
      ByZone[Each.Zone].push_back(
          {.Id = Each.Id, .Hash = hashOf(Each.Id.Value)});
  for (auto &[Zone, Instances] : ByZone) {
    // Weights are rounded down to a power of two, so that the death of a
    // single instance rarely changes the order of the zones.
    auto Weight = static_cast<double>(std::bit_floor(Instances.size()));
    this->Zones.push_back({.Zone = Zone,
                           .Hash = hashOf(Zone.Value),
                           .Weight = Weight,
                           .Instances = std::move(Instances)});
  }
}

std::vector<DutyAssignment::ScoredZone>
DutyAssignment::rankZones(std::uint64_t Duty) const {
  std::vector<ScoredZone> Scored;
  Scored.reserve(this->Zones.size());
  for (const ZoneCandidates &Zone : this->Zones)
    Scored.push_back({.Score = weightedScore(mix(Duty, Zone.Hash), Zone.Weight),
                      .Zone = &Zone});
  std::sort(Scored.begin(), Scored.end(),
            [](const ScoredZone &Left, const ScoredZone &Right) {
              return Left.Score != Right.Score
                         ? Left.Score > Right.Score
                         : Left.Zone->Zone < Right.Zone->Zone;
            });
  return Scored;
}

std::vector<const DutyAssignment::Candidate *>
DutyAssignment::topInZone(const ZoneCandidates &Zone, std::uint64_t Duty,
                          std::size_t Count) {
  struct Scored {
    std::uint64_t Score;
    const Candidate *Instance;
  };
  std::vector<Scored> All;
  All.reserve(Zone.Instances.size());
  for (const Candidate &Each : Zone.Instances)
    All.push_back({.Score = mix(Duty, Each.Hash), .Instance = &Each});
  auto Middle =
      All.begin() + static_cast<std::ptrdiff_t>(std::min(Count, All.size()));
  std::partial_sort(All.begin(), Middle, All.end(),
                    [](const Scored &Left, const Scored &Right) {
                      return Left.Score != Right.Score
                                 ? Left.Score > Right.Score
                                 : Left.Instance->Id < Right.Instance->Id;
                    });
  std::vector<const Candidate *> Best;
  for (auto At = All.begin(); At != Middle; ++At)
    Best.push_back(At->Instance);
  return Best;
}

std::vector<InstanceId> DutyAssignment::holders(const DutyKey &Key,
                                                std::size_t Count) const {
  std::uint64_t Duty = hashOf(Key);
  std::vector<ScoredZone> Zones = this->rankZones(Duty);
  std::vector<std::vector<const Candidate *>> BestByZone;
  // The zone at Index contributes at most Count - Index holders, as each zone
  // before it contributes one first.
  for (std::size_t Index = 0; Index < std::min(Count, Zones.size()); ++Index)
    BestByZone.push_back(topInZone(*Zones[Index].Zone, Duty, Count - Index));
  std::vector<InstanceId> Holders;
  bool More = true;
  for (std::size_t Turn = 0; More && Holders.size() < Count; ++Turn) {
    More = false;
    for (const auto &Zone : BestByZone) {
      if (Turn >= Zone.size() || Holders.size() >= Count)
        continue;
      Holders.push_back(Zone[Turn]->Id);
      More = true;
    }
  }
  return Holders;
}

std::vector<InstanceId> DutyAssignment::holdersInZone(const DutyKey &Key,
                                                      const ZoneId &Zone,
                                                      std::size_t Count) const {
  std::vector<InstanceId> Holders;
  for (const ZoneCandidates &Each : this->Zones) {
    if (Each.Zone != Zone)
      continue;
    for (const Candidate *Best : topInZone(Each, hashOf(Key), Count))
      Holders.push_back(Best->Id);
  }
  return Holders;
}

std::optional<std::size_t> DutyAssignment::rank(const DutyKey &Key,
                                                const InstanceId &Id,
                                                std::size_t Count) const {
  std::vector<InstanceId> Holders = this->holders(Key, Count);
  auto Found = std::find(Holders.begin(), Holders.end(), Id);
  if (Found == Holders.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Holders.begin());
}

} // namespace turmericpitch
