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

void InstanceTable::count(const InstanceRecord &Record, bool Added) {
  if (Record.Health == InstanceHealth::Dead)
    return;
  this->Digests[bucketOf(Record.Id)] ^= digestOf(Record);
  std::size_t &InZone = this->PresentByZone[Record.Zone];
  InZone = Added ? InZone + 1 : InZone - 1;
  this->Present = Added ? this->Present + 1 : this->Present - 1;
}

bool InstanceTable::merge(const InstanceRecord &Heard) {
  auto [At, New] = this->Instances.try_emplace(
      Heard.Id, KnownInstance{.Record = Heard, .Received = {}, .Until = {}});
  if (New) {
    this->Buckets[bucketOf(Heard.Id)].push_back(Heard.Id);
    this->Zones[Heard.Zone].push_back(Heard.Id);
    this->count(Heard, true);
    ++this->Version;
    return true;
  }
  InstanceRecord &Known = At->second.Record;
  InstanceRecord Next = merged(Known, Heard);
  if (Next == Known)
    return false;
  this->count(Known, false);
  if (Next.Zone != Known.Zone) {
    remove(this->Zones[Known.Zone], Known.Id);
    this->Zones[Next.Zone].push_back(Known.Id);
  }
  Known = std::move(Next);
  this->count(Known, true);
  ++this->Version;
  return true;
}

void InstanceTable::erase(const InstanceId &Id) {
  auto Found = this->Instances.find(Id);
  if (Found == this->Instances.end())
    return;
  this->count(Found->second.Record, false);
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

std::size_t InstanceTable::presentIn(const ZoneId &Zone) const {
  auto Found = this->PresentByZone.find(Zone);
  return Found == this->PresentByZone.end() ? 0 : Found->second;
}

} // namespace turmericpitch
