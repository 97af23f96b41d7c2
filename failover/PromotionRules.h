// When a record may be closed, a promotion ordered and a right extended.
#pragma once

#include "core/Time.h"
#include "failover/PrimaryLeases.h"

#include <optional>

namespace turmericpitch {

struct PromotionRulesOptions {
  PrimaryLeaseOptions Leases = {};
  /// How long a listing of the instances stands for all of them while the
  /// store is away.
  Duration ListingValidity = std::chrono::milliseconds(8000);
  /// Beyond it, for clocks that run at different rates.
  Duration ListingMargin = std::chrono::milliseconds(200);
};

/// Whether an instance may close records: it must have been registered for
/// longer than any listing without it stands for all instances. The closing
/// write is conditional on that same registration. RegisteredAt: when its
/// registration was acknowledged; nothing if it isn't registered. Pure.
bool mayCloseRecord(const PromotionRulesOptions &Options,
                    std::optional<TimePoint> RegisteredAt, TimePoint Now);

/// The earliest time at which a promotion may be ordered: rights end with the
/// longest use that began before the record was closed, or with what was
/// promised to others. ClosedAt: when the closing write was acknowledged.
/// Pure.
TimePoint earliestPromotion(const PromotionRulesOptions &Options,
                            TimePoint ClosedAt, TimePoint GrantedUntil);

/// What an extension by the promises of all instances rests on.
struct LeaseExtensionBasis {
  /// When the instances asked were listed.
  TimePoint ListedAt;
  /// When the record was read; who has closed it since must still have been
  /// listed then.
  TimePoint RecordReadAt;
  /// When the questions were sent.
  TimePoint AskedAt;
};

/// Until when the promises of all listed instances extend a right; nothing if
/// they don't. Pure.
std::optional<TimePoint> leaseExtensionEnd(const PromotionRulesOptions &Options,
                                           const LeaseExtensionBasis &Basis);

} // namespace turmericpitch
