// Replaces primary records that another writer has made unreadable.
#pragma once

#include "failover/PrimaryRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

/// An entry at the key of a primary record that can't be decoded.
struct UnreadableRecord {
  ServiceId Service;
  Revision Stored;

  bool operator==(const UnreadableRecord &) const = default;
};

struct RecordRepairOptions {
  /// Time after which an order that the lost record may have announced has
  /// taken effect or can't any more: 0.3 s until it is sent, 1 s for the call,
  /// 1 s until the member is primary.
  Duration OrderTimeout = std::chrono::milliseconds(3000);
  /// The same for an instance that doesn't know what the record said. Others
  /// that know it are given the time to replace it, and by then no lease is in
  /// use, whoever granted it.
  Duration UnknownTimeout = std::chrono::milliseconds(16'300);
  /// How much later each rank replaces a record.
  Duration RankDelay = std::chrono::milliseconds(250);
};

/// Tracks unreadable records, and decides when and by what they are replaced:
/// by a closed record that leaves open whom an order named, so that a failover
/// finds out which member is the primary. Pure; not thread-safe.
class RecordRepair {
public:
  explicit RecordRepair(RecordRepairOptions Options = {}) : Options(Options) {}

  /// Updates the unreadable records from a listing. Known holds the records
  /// that this instance knew before it.
  void onListing(const std::vector<UnreadableRecord> &Unreadable,
                 const std::vector<PrimaryRecord> &Known, TimePoint Now);
  /// Whether the store holds a record of the service that can't be decoded.
  [[nodiscard]] bool isUnreadable(const ServiceId &Id) const {
    return this->Tracked.contains(Id);
  }
  /// The record that should replace an unreadable one, with the revision that
  /// it replaces in Stored; nothing if that isn't due. Rank: number of
  /// instances that should do so before.
  [[nodiscard]] std::optional<PrimaryRecord>
  replacement(const ServiceId &Id, std::size_t Rank, TimePoint Now) const;

private:
  struct Entry {
    Revision Stored;
    TimePoint SeenAt;
    std::optional<PrimaryRecord> Known;
  };

  RecordRepairOptions Options;
  std::map<ServiceId, Entry> Tracked;
};

} // namespace turmericpitch
