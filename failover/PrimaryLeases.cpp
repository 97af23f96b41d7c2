#include "failover/PrimaryLeases.h"

#include <algorithm>

namespace turmericpitch {

bool PrimaryLeases::onListing(const std::vector<PrimaryRecord> &Listing,
                              const RecordEvidence &Evidence) {
  bool Changed = false;
  std::map<ServiceId, bool> Current;
  for (const PrimaryRecord &Record : Listing) {
    Current[Record.Service] = true;
    Changed = this->onRecord(Record, Evidence) || Changed;
  }
  std::size_t Gone = std::erase_if(this->Records, [&](const auto &Each) {
    return !Current.contains(Each.first) &&
           Each.second.Evidence.ReadSentAt < Evidence.ReadSentAt;
  });
  return Changed || Gone > 0;
}

bool PrimaryLeases::onRecord(const PrimaryRecord &Record,
                             const RecordEvidence &Evidence) {
  auto [Found, Added] = this->Records.try_emplace(
      Record.Service, TrackedRecord{Record, Evidence, {}});
  TrackedRecord &Current = Found->second;
  if (Added)
    return true;
  // Reads can complete out of order. The record's revision tells which of
  // them is newer.
  if (Record.Stored < Current.Record.Stored)
    return false;
  if (Record.Stored == Current.Record.Stored) {
    RecordEvidence &Known = Current.Evidence;
    if (Evidence.ReadSentAt > Known.ReadSentAt) {
      Known.ReadSentAt = Evidence.ReadSentAt;
      Known.Grantors = Evidence.Grantors;
    }
    Known.GrantedAt = std::max(Known.GrantedAt, Evidence.GrantedAt);
    // Copies that instances send each other lack what a promoter needs.
    if (Current.Record.Writer.Value.empty())
      Current.Record = Record;
    return false;
  }
  // The promoter that closed the record waits until leases from earlier reads
  // have expired. Running work may use such a lease until then.
  bool SameEpoch = Current.Record.Epoch == Record.Epoch;
  if (SameEpoch && Current.Record.Phase == PrimaryPhase::Open)
    Current.ClosingExpiry = this->openExpiry(Current);
  else if (!SameEpoch)
    Current.ClosingExpiry = {};
  Current.Evidence = Evidence;
  Current.Record = Record;
  return true;
}

TimePoint PrimaryLeases::openExpiry(const TrackedRecord &Current) const {
  return std::max(Current.Evidence.ReadSentAt, Current.Evidence.GrantedAt) +
         this->Options.Validity;
}

void PrimaryLeases::onGranted(const ServiceId &Id, std::uint64_t Epoch,
                              TimePoint GrantedAt) {
  auto Found = this->Records.find(Id);
  if (Found == this->Records.end() || Found->second.Record.Epoch != Epoch)
    return;
  TimePoint &Known = Found->second.Evidence.GrantedAt;
  Known = std::max(Known, GrantedAt);
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
  for (const auto &[Id, Each] : this->Records)
    if (!Oldest || Each.Evidence.ReadSentAt < *Oldest)
      Oldest = Each.Evidence.ReadSentAt;
  return Oldest;
}

std::optional<TimePoint> PrimaryLeases::oldestEvidenceAt() const {
  std::optional<TimePoint> Oldest;
  for (const auto &[Id, Each] : this->Records) {
    if (Each.Record.Phase != PrimaryPhase::Open)
      continue;
    TimePoint Newest =
        std::max(Each.Evidence.ReadSentAt, Each.Evidence.GrantedAt);
    Oldest = std::min(Oldest.value_or(Newest), Newest);
  }
  return Oldest;
}

std::optional<RecordEvidence>
PrimaryLeases::evidence(const ServiceId &Id) const {
  auto Found = this->Records.find(Id);
  if (Found == this->Records.end())
    return std::nullopt;
  return Found->second.Evidence;
}

std::vector<PrimaryRecord> PrimaryLeases::all() const {
  std::vector<PrimaryRecord> All;
  for (const auto &[Id, TrackedRecord] : this->Records)
    All.push_back(TrackedRecord.Record);
  return All;
}

} // namespace turmericpitch
