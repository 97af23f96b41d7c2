#include "failover/PrimaryLeases.h"

#include <algorithm>

namespace turmericpitch {

bool PrimaryLeases::onListing(const std::vector<PrimaryRecord> &Listed,
                              TimePoint AskedAt) {
  bool Changed = false;
  std::map<ServiceId, bool> Present;
  for (const PrimaryRecord &Record : Listed) {
    Present[Record.Service] = true;
    Changed = this->onRecord(Record, AskedAt) || Changed;
  }
  std::size_t Gone = std::erase_if(this->Records, [&](const auto &Each) {
    return !Present.contains(Each.first) && Each.second.AskedAt < AskedAt;
  });
  return Changed || Gone > 0;
}

bool PrimaryLeases::onRecord(const PrimaryRecord &Record, TimePoint AskedAt) {
  auto [Found, Added] =
      this->Records.try_emplace(Record.Service, Known{Record, AskedAt, {}, {}});
  Known &Present = Found->second;
  if (Added)
    return true;
  // Reads can overtake one another: the record's revision says which of them
  // saw more.
  if (Record.Stored < Present.Record.Stored)
    return false;
  if (Record.Stored == Present.Record.Stored) {
    Present.AskedAt = std::max(Present.AskedAt, AskedAt);
    return false;
  }
  // Whoever closed the record waits until the rights from earlier reads have
  // ended, so that work under way may end in time.
  bool SameEpoch = Present.Record.Epoch == Record.Epoch;
  if (SameEpoch && Present.Record.Phase == PrimaryPhase::Open)
    Present.ClosingUntil = this->openUntil(Present);
  else if (!SameEpoch)
    Present.ClosingUntil = {};
  Present.AskedAt = AskedAt;
  Present.Record = Record;
  Present.ExtendedUntil = {};
  return true;
}

TimePoint PrimaryLeases::openUntil(const Known &Present) const {
  return std::max(Present.AskedAt + this->Options.Validity,
                  Present.ExtendedUntil);
}

void PrimaryLeases::extend(const ServiceId &Id, std::uint64_t Epoch,
                           TimePoint Until) {
  auto Found = this->Records.find(Id);
  if (Found == this->Records.end() || Found->second.Record.Epoch != Epoch)
    return;
  Found->second.ExtendedUntil = std::max(Found->second.ExtendedUntil, Until);
}

std::optional<PrimaryLease> PrimaryLeases::lease(const ServiceId &Id) const {
  auto Found = this->Records.find(Id);
  if (Found == this->Records.end())
    return std::nullopt;
  const Known &Present = Found->second;
  bool Open = Present.Record.Phase == PrimaryPhase::Open;
  if (!Open && Present.ClosingUntil == TimePoint{})
    return std::nullopt;
  return PrimaryLease{.Epoch = Present.Record.Epoch,
                      .Primary = Present.Record.Primary,
                      .Until = Open ? this->openUntil(Present)
                                    : Present.ClosingUntil,
                      .Ending = !Open};
}

const PrimaryRecord *PrimaryLeases::record(const ServiceId &Id) const {
  auto Found = this->Records.find(Id);
  return Found == this->Records.end() ? nullptr : &Found->second.Record;
}

std::optional<TimePoint> PrimaryLeases::oldestAskedAt() const {
  std::optional<TimePoint> Oldest;
  for (const auto &[Id, Known] : this->Records)
    if (!Oldest || Known.AskedAt < *Oldest)
      Oldest = Known.AskedAt;
  return Oldest;
}

std::optional<TimePoint> PrimaryLeases::askedAt(const ServiceId &Id) const {
  auto Found = this->Records.find(Id);
  if (Found == this->Records.end())
    return std::nullopt;
  return Found->second.AskedAt;
}

std::vector<PrimaryRecord> PrimaryLeases::all() const {
  std::vector<PrimaryRecord> All;
  for (const auto &[Id, Known] : this->Records)
    All.push_back(Known.Record);
  return All;
}

void LeaseGrants::grant(const ServiceId &Id, Duration LongestUse,
                        TimePoint Now) {
  TimePoint &Until = this->Bound[Id];
  Until = std::max(Until, Now + LongestUse);
}

TimePoint LeaseGrants::boundUntil(const ServiceId &Id) const {
  auto Found = this->Bound.find(Id);
  return Found == this->Bound.end() ? TimePoint{} : Found->second;
}

} // namespace turmericpitch
