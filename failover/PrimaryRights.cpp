#include "failover/PrimaryRights.h"

namespace turmericpitch {

bool PrimaryRights::onListing(const std::vector<ReignRecord> &Listed,
                              TimePoint AskedAt) {
  if (this->AskedAt && AskedAt <= *this->AskedAt)
    return false;
  this->AskedAt = AskedAt;
  std::map<ServiceId, ReignRecord> Next;
  for (const ReignRecord &Record : Listed)
    Next.emplace(Record.Service, Record);
  bool Changed = Next != this->Records;
  this->Records = std::move(Next);
  return Changed;
}

std::optional<PrimaryRight> PrimaryRights::right(const ServiceId &Id) const {
  const ReignRecord *Record = this->record(Id);
  if (!Record || Record->Phase != ReignPhase::Open)
    return std::nullopt;
  return PrimaryRight{.Reign = Record->Reign,
                      .Primary = Record->Primary,
                      .Until = *this->AskedAt + this->Options.Validity};
}

const ReignRecord *PrimaryRights::record(const ServiceId &Id) const {
  auto Found = this->Records.find(Id);
  return Found == this->Records.end() ? nullptr : &Found->second;
}

} // namespace turmericpitch
