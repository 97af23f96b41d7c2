// Rules for when a primary record may be closed, a promotion requested and a
// lease extended.
#pragma once

#include "core/Time.h"
#include "failover/PrimaryLeases.h"

#include <optional>

namespace turmericpitch {

struct PromotionRulesOptions {
  PrimaryLeaseOptions Leases = {};
  /// How long a listing of the instances may be used as complete while the
  /// store is unavailable.
  Duration ListingValidity = std::chrono::milliseconds(8000);
  /// Added to the validity, as clock rates of instances differ.
  Duration ListingMargin = std::chrono::milliseconds(200);
};

/// Whether an instance may close records. It must have been registered for
/// longer than a listing that lacks it can still be used as complete. The
/// closing write is conditional on the same registration. RegisteredAt: when
/// the registration was acknowledged; nothing if the instance isn't registered.
/// Pure.
bool mayCloseRecord(const PromotionRulesOptions &Options,
                    std::optional<TimePoint> RegisteredAt, TimePoint Now);

/// The earliest time at which a promotion may be requested: all leases must
/// have expired, both those from reads before the record was closed and those
/// that rest on promises to others. ClosedAt: when the closing write was
/// acknowledged. GrantedUntil: end of the promises that this instance gave.
/// Pure.
TimePoint earliestPromotion(const PromotionRulesOptions &Options,
                            TimePoint ClosedAt, TimePoint GrantedUntil);

/// Times on which a lease extension by promises of all instances is based.
struct LeaseExtensionBasis {
  /// When the list of the queried instances was read.
  TimePoint ListedAt;
  /// When the record was read. Must not be before ListedAt, so that an instance
  /// which closed the record after this read is in the list.
  TimePoint RecordReadAt;
  /// When the queries were sent.
  TimePoint QueriesSentAt;
};

/// The time until which promises of all listed instances extend a lease;
/// nothing if the list or the record is too old. Pure.
std::optional<TimePoint> leaseExtensionEnd(const PromotionRulesOptions &Options,
                                           const LeaseExtensionBasis &Basis);

} // namespace turmericpitch
