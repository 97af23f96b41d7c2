// The rights of this instance to use primaries.
#pragma once

#include "failover/PrimaryLease.h"
#include "failover/PrimaryRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

struct PrimaryLeaseOptions {
  /// How long a lease lasts, from the sending of the read that showed the
  /// primary. A failover waits for as long.
  Duration Validity = std::chrono::milliseconds(800);
  /// What a promoter waits beyond the validity: clocks of instances run at
  /// rates at most 2% apart, and timers fire late.
  Duration Margin = std::chrono::milliseconds(60);

  /// How long a promoter waits after its closing write was acknowledged, and
  /// how long a grant binds the one that gave it.
  [[nodiscard]] Duration maxUse() const {
    return this->Validity + this->Margin;
  }
};

/// A lease follows from a read of the store: a record that was open when the
/// read was sent can't lead to a promotion before the lease has ended, as a
/// promoter first closes the record and then waits for longer than any lease
/// lasts. The read may be another instance's whose age is known. While the
/// store is away, the word of every registered instance that it closes no
/// record stands in for a read. Times are by the clock that also counts a
/// suspend. Pure; not thread-safe.
class PrimaryLeases {
public:
  explicit PrimaryLeases(PrimaryLeaseOptions Options = {}) : Options(Options) {}

  /// All records as a read that was sent at AskedAt showed them. Returns
  /// whether a record has changed.
  bool onListing(const std::vector<PrimaryRecord> &Listed, TimePoint AskedAt);
  /// One record as a read no older than AskedAt showed it. Returns whether
  /// it has changed.
  bool onRecord(const PrimaryRecord &Record, TimePoint AskedAt);
  /// Every registered instance has promised not to close this reign before
  /// Until.
  void extend(const ServiceId &Id, std::uint64_t Epoch, TimePoint Until);

  /// The lease to a service's primary. It may have run out. While a change of
  /// primary is under way it is the one that a read before the change gave;
  /// nothing if there was none.
  [[nodiscard]] std::optional<PrimaryLease> lease(const ServiceId &Id) const;
  /// The newest record of a service, or nullptr; valid until the next
  /// change.
  [[nodiscard]] const PrimaryRecord *record(const ServiceId &Id) const;
  /// When the oldest of the records was asked for; nothing without any.
  [[nodiscard]] std::optional<TimePoint> oldestAskedAt() const;
  /// When a record was asked for; nothing if it isn't known.
  [[nodiscard]] std::optional<TimePoint> askedAt(const ServiceId &Id) const;
  [[nodiscard]] std::vector<PrimaryRecord> all() const;
  [[nodiscard]] const PrimaryLeaseOptions &options() const {
    return this->Options;
  }

private:
  struct TrackedRecord {
    PrimaryRecord Record;
    TimePoint AskedAt;
    /// By the word of the other instances.
    TimePoint ExtendedUntil;
    /// End of the lease that stood when the record was seen closed; not set
    /// if there was none.
    TimePoint ClosingExpiry;
  };

  [[nodiscard]] TimePoint openExpiry(const TrackedRecord &Current) const;

  PrimaryLeaseOptions Options;
  std::map<ServiceId, TrackedRecord> Records;
};

/// What this instance has promised others: not to close a reign before a
/// time. Pure; not thread-safe.
class LeaseGrants {
public:
  /// Binds this instance for a use that begins no later than Now.
  void grant(const ServiceId &Id, Duration MaxUse, TimePoint Now);
  /// Before this time no record of the service may be closed.
  [[nodiscard]] TimePoint grantedUntil(const ServiceId &Id) const;

private:
  std::map<ServiceId, TimePoint> GrantedUntil;
};

} // namespace turmericpitch
