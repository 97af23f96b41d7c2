// Rules for when a lease may be extended and a promotion requested.
#pragma once

#include "core/Time.h"
#include "failover/GrantRound.h"
#include "failover/PrimaryLeases.h"

#include <optional>

namespace turmericpitch {

struct PromotionRulesOptions {
  PrimaryLeaseOptions Leases = {};
  /// How long after a read of a record its leases may be extended by grants. An
  /// outage of the store that lasts longer ends the service; a promoter that
  /// reaches no majority of the grantors waits for as long.
  Duration RecordValidity = std::chrono::milliseconds(15'000);
  /// Added to the validity, as clock rates of instances differ by at most 2%.
  Duration RecordValidityMargin = std::chrono::milliseconds(400);
};

/// How a record was closed, as known to the promoter.
struct ClosingProgress {
  /// When the write that closed the record was acknowledged, or this instance
  /// first saw the record closed.
  TimePoint ClosedAt;
  /// When a majority of each grantor set had consented; nothing before.
  std::optional<TimePoint> ConsentedAt = std::nullopt;
};

/// The earliest time at which a promotion may be requested. Leases from reads
/// before the closing must have expired, and so must those that rest on grants:
/// no more are given once a majority of the grantors has consented, else once
/// all reads that showed the record open are too old to be extended. Pure.
TimePoint earliestPromotion(const PromotionRulesOptions &Options,
                            const ClosingProgress &Progress);

/// Whether grants that a majority gave in a round may extend a lease on a
/// record. The read that showed the record must have shown the set whose
/// members were asked: a promoter needs the consent of a majority of the set
/// that is in force when it closes the record, and of the one before. Pure.
bool mayExtendLease(const PromotionRulesOptions &Options,
                    const RecordEvidence &Evidence, const GrantRound &Round);

} // namespace turmericpitch
