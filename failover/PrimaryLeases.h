// The leases of this instance on the primaries of all services.
#pragma once

#include "failover/PrimaryLease.h"
#include "failover/PrimaryRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

struct PrimaryLeaseOptions {
  /// Duration of a lease, counted from when the read that showed the primary
  /// was sent. A failover waits for as long.
  Duration Validity = std::chrono::milliseconds(800);
  /// Time that a promoter waits beyond the validity: the clock rates of
  /// instances differ by at most 2%, and timers fire late.
  Duration Margin = std::chrono::milliseconds(60);

  /// How long a promoter waits after its closing write was acknowledged, and
  /// how long a grant binds the instance that gave it.
  [[nodiscard]] Duration maxUse() const {
    return this->Validity + this->Margin;
  }
};

/// What shows that a record was open at a time.
struct RecordEvidence {
  /// When the read of the store that showed the record was sent.
  TimePoint ReadSentAt;
  /// When the newest round of requests was sent in which a majority of the
  /// grantors promised to keep the record open; not set if there was none.
  TimePoint GrantedAt = {};
  /// The revision of the grantor set that the same read showed.
  Revision Grantors = {};
};

/// Derives leases from reads of the store. If a record was open when the read
/// was sent, no promotion can follow before the lease expires: a promoter
/// first closes the record and then waits longer than any lease lasts. The
/// read may be that of another instance if its age is known. While the store
/// is unavailable, promises of a majority of the grantors to keep the record
/// open replace the read. Times are of the clock that keeps running while the
/// system is suspended. Pure; not thread-safe.
class PrimaryLeases {
public:
  explicit PrimaryLeases(PrimaryLeaseOptions Options = {}) : Options(Options) {}

  /// Updates all records from a listing. Removes the records that it lacks
  /// unless they were read later. Returns whether a record has changed.
  bool onListing(const std::vector<PrimaryRecord> &Listing,
                 const RecordEvidence &Evidence);
  /// Updates one record. Returns whether it has changed.
  bool onRecord(const PrimaryRecord &Record, const RecordEvidence &Evidence);
  /// A majority of the grantors promised to keep the record of this epoch open,
  /// in a round that was sent at GrantedAt. Ignored if the record is of another
  /// epoch.
  void onGranted(const ServiceId &Id, std::uint64_t Epoch, TimePoint GrantedAt);

  /// The lease on a service's primary; it may have expired. While a change of
  /// primary is in progress, the lease that was held before the change, or
  /// nothing if there was none.
  [[nodiscard]] std::optional<PrimaryLease> lease(const ServiceId &Id) const;
  /// The newest record of a service, or nullptr. The pointer is valid until
  /// the next call that isn't const.
  [[nodiscard]] const PrimaryRecord *record(const ServiceId &Id) const;
  /// When the read of the least recently read record was sent; nothing
  /// without records.
  [[nodiscard]] std::optional<TimePoint> oldestReadSentAt() const;
  /// What shows a record; nothing without a record.
  [[nodiscard]] std::optional<RecordEvidence>
  evidence(const ServiceId &Id) const;
  /// The time from which the lease that ends first is counted; nothing without
  /// records.
  [[nodiscard]] std::optional<TimePoint> oldestEvidenceAt() const;
  [[nodiscard]] std::vector<PrimaryRecord> all() const;
  [[nodiscard]] const PrimaryLeaseOptions &options() const {
    return this->Options;
  }

private:
  struct TrackedRecord {
    PrimaryRecord Record;
    RecordEvidence Evidence;
    /// Expiry of the lease that was held when the record was found closed; not
    /// set if there was none.
    TimePoint ClosingExpiry;
  };

  [[nodiscard]] TimePoint openExpiry(const TrackedRecord &Current) const;

  PrimaryLeaseOptions Options;
  std::map<ServiceId, TrackedRecord> Records;
};

} // namespace turmericpitch
