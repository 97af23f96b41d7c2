// All known instances, with digests to find differences between peers.
#pragma once

#include "core/Time.h"
#include "membership/InstanceRecord.h"
#include "membership/ReplayGuard.h"

#include <array>
#include <map>
#include <vector>

namespace turmericpitch {

/// The state kept for one instance.
struct KnownInstance {
  InstanceRecord Record;
  ReplayGuard Replays;
  /// When a suspect instance is declared dead, or a dead one is forgotten.
  TimePoint ExpiresAt{};
};

/// Records by instance name, grouped into buckets with digests. Not
/// thread-safe.
class InstanceTable {
public:
  static constexpr std::size_t BucketCount = 256;

  /// Merges a record into the table. Returns whether the table has changed.
  bool merge(const InstanceRecord &Received);
  void erase(const InstanceId &Id);

  [[nodiscard]] const KnownInstance *find(const InstanceId &Id) const;
  KnownInstance *find(const InstanceId &Id);
  [[nodiscard]] const std::map<InstanceId, KnownInstance> &all() const {
    return this->Instances;
  }
  [[nodiscard]] std::size_t size() const { return this->Instances.size(); }
  /// Increases with each change.
  [[nodiscard]] std::uint64_t version() const { return this->Version; }

  /// Digest of the bucket's instances that are not dead. Covers names,
  /// incarnations and leaving marks. Equal contents give equal digests.
  [[nodiscard]] std::uint32_t digest(std::size_t Bucket) const {
    return this->Digests[Bucket];
  }
  /// Names in a bucket, dead ones included.
  [[nodiscard]] const std::vector<InstanceId> &inBucket(std::size_t B) const {
    return this->Buckets[B];
  }
  /// Names in each zone, dead ones included.
  [[nodiscard]] const std::map<ZoneId, std::vector<InstanceId>> &zones() const {
    return this->Zones;
  }
  /// Instances of the zone that are not dead.
  [[nodiscard]] std::size_t notDeadInZone(const ZoneId &Zone) const;
  /// Instances that are not dead.
  [[nodiscard]] std::size_t notDeadCount() const { return this->NotDeadCount; }

private:
  void updateCounts(const InstanceRecord &Record, bool Added);
  static std::size_t bucketOf(const InstanceId &Id);

  std::map<InstanceId, KnownInstance> Instances;
  std::map<ZoneId, std::vector<InstanceId>> Zones;
  std::map<ZoneId, std::size_t> NotDeadByZone;
  std::array<std::uint32_t, BucketCount> Digests{};
  std::array<std::vector<InstanceId>, BucketCount> Buckets;
  std::size_t NotDeadCount = 0;
  std::uint64_t Version = 0;
};

} // namespace turmericpitch
