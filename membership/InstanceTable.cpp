#include "membership/InstanceTable.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericpitch {

namespace {

std::uint32_t digestOf(const InstanceRecord &Record) {
  std::uint64_t Seed =
      Record.IncarnationNumber.Value * 2 + (Record.Leaving ? 1 : 0);
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      Record.Id.Value.data(), Record.Id.Value.size(), Seed));
}

void remove(std::vector<InstanceId> &From, const InstanceId &Id) {
  auto Found = std::find(From.begin(), From.end(), Id);
  if (Found == From.end())
    return;
  *Found = From.back();
  From.pop_back();
}

} // namespace

std::size_t InstanceTable::bucketOf(const InstanceId &Id) {
  return XXH3_64bits(Id.Value.data(), Id.Value.size()) % BucketCount;
}

void InstanceTable::updateCounts(const InstanceRecord &Record, bool Added) {
  if (Record.Health == InstanceHealth::Dead)
    return;
  this->Digests[bucketOf(Record.Id)] ^= digestOf(Record);
  std::size_t &InZone = this->NotDeadByZone[Record.Zone];
  InZone = Added ? InZone + 1 : InZone - 1;
  this->NotDeadCount = Added ? this->NotDeadCount + 1 : this->NotDeadCount - 1;
}

bool InstanceTable::merge(const InstanceRecord &Received) {
  auto [At, New] = this->Instances.try_emplace(
      Received.Id,
      KnownInstance{.Record = Received, .Replays = {}, .ExpiresAt = {}});
  if (New) {
    this->Buckets[bucketOf(Received.Id)].push_back(Received.Id);
    this->Zones[Received.Zone].push_back(Received.Id);
    this->updateCounts(Received, true);
    ++this->Version;
    return true;
  }
  InstanceRecord &Known = At->second.Record;
  InstanceRecord Next = merged(Known, Received);
  if (Next == Known)
    return false;
  this->updateCounts(Known, false);
  if (Next.Zone != Known.Zone) {
    remove(this->Zones[Known.Zone], Known.Id);
    this->Zones[Next.Zone].push_back(Known.Id);
  }
  Known = std::move(Next);
  this->updateCounts(Known, true);
  ++this->Version;
  return true;
}

void InstanceTable::erase(const InstanceId &Id) {
  auto Found = this->Instances.find(Id);
  if (Found == this->Instances.end())
    return;
  this->updateCounts(Found->second.Record, false);
  remove(this->Buckets[bucketOf(Id)], Id);
  remove(this->Zones[Found->second.Record.Zone], Id);
  this->Instances.erase(Found);
  ++this->Version;
}

const KnownInstance *InstanceTable::find(const InstanceId &Id) const {
  auto Found = this->Instances.find(Id);
  return Found == this->Instances.end() ? nullptr : &Found->second;
}

KnownInstance *InstanceTable::find(const InstanceId &Id) {
  auto Found = this->Instances.find(Id);
  return Found == this->Instances.end() ? nullptr : &Found->second;
}

std::size_t InstanceTable::notDeadInZone(const ZoneId &Zone) const {
  auto Found = this->NotDeadByZone.find(Zone);
  return Found == this->NotDeadByZone.end() ? 0 : Found->second;
}

} // namespace turmericpitch
