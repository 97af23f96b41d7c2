#include "failover/PrimaryLeases.h"

#include <algorithm>

namespace turmericpitch {

bool PrimaryLeases::onListing(const std::vector<PrimaryRecord> &Listing,
                              TimePoint ReadSentAt) {
  bool Changed = false;
  std::map<ServiceId, bool> Current;
  for (const PrimaryRecord &Record : Listing) {
    Current[Record.Service] = true;
    Changed = this->onRecord(Record, ReadSentAt) || Changed;
  }
  std::size_t Gone = std::erase_if(this->Records, [&](const auto &Each) {
    return !Current.contains(Each.first) && Each.second.ReadSentAt < ReadSentAt;
  });
  return Changed || Gone > 0;
}

bool PrimaryLeases::onRecord(const PrimaryRecord &Record,
                             TimePoint ReadSentAt) {
  auto [Found, Added] = this->Records.try_emplace(
      Record.Service, TrackedRecord{Record, ReadSentAt, {}, {}});
  TrackedRecord &Current = Found->second;
  if (Added)
    return true;
  // Reads can complete out of order. The record's revision tells which of
  // them is newer.
  if (Record.Stored < Current.Record.Stored)
    return false;
  if (Record.Stored == Current.Record.Stored) {
    Current.ReadSentAt = std::max(Current.ReadSentAt, ReadSentAt);
    return false;
  }
  // The promoter that closed the record waits until leases from earlier reads
  // have expired. Running work may use such a lease until then.
  bool SameEpoch = Current.Record.Epoch == Record.Epoch;
  if (SameEpoch && Current.Record.Phase == PrimaryPhase::Open)
    Current.ClosingExpiry = this->openExpiry(Current);
  else if (!SameEpoch)
    Current.ClosingExpiry = {};
  Current.ReadSentAt = ReadSentAt;
  Current.Record = Record;
  Current.ExtendedUntil = {};
  return true;
}

TimePoint PrimaryLeases::openExpiry(const TrackedRecord &Current) const {
  return std::max(Current.ReadSentAt + this->Options.Validity,
                  Current.ExtendedUntil);
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
  const TrackedRecord &Current = Found->second;
  bool Open = Current.Record.Phase == PrimaryPhase::Open;
  if (!Open && Current.ClosingExpiry == TimePoint{})
    return std::nullopt;
  return PrimaryLease{.Epoch = Current.Record.Epoch,
                      .Primary = Current.Record.Primary,
                      .ExpiresAt = Open ? this->openExpiry(Current)
                                        : Current.ClosingExpiry,
                      .Ending = !Open};
}

const PrimaryRecord *PrimaryLeases::record(const ServiceId &Id) const {
  auto Found = this->Records.find(Id);
  return Found == this->Records.end() ? nullptr : &Found->second.Record;
}

std::optional<TimePoint> PrimaryLeases::oldestReadSentAt() const {
  std::optional<TimePoint> Oldest;
  for (const auto &[Id, TrackedRecord] : this->Records)
    if (!Oldest || TrackedRecord.ReadSentAt < *Oldest)
      Oldest = TrackedRecord.ReadSentAt;
  return Oldest;
}

std::optional<TimePoint> PrimaryLeases::readSentAt(const ServiceId &Id) const {
  auto Found = this->Records.find(Id);
  if (Found == this->Records.end())
    return std::nullopt;
  return Found->second.ReadSentAt;
}

std::vector<PrimaryRecord> PrimaryLeases::all() const {
  std::vector<PrimaryRecord> All;
  for (const auto &[Id, TrackedRecord] : this->Records)
    All.push_back(TrackedRecord.Record);
  return All;
}

void LeaseGrants::grant(const ServiceId &Id, Duration MaxUse, TimePoint Now) {
  TimePoint &Until = this->GrantedUntil[Id];
  Until = std::max(Until, Now + MaxUse);
}

TimePoint LeaseGrants::grantedUntil(const ServiceId &Id) const {
  auto Found = this->GrantedUntil.find(Id);
  return Found == this->GrantedUntil.end() ? TimePoint{} : Found->second;
}

} // namespace turmericpitch
