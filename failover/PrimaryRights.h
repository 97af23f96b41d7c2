// The rights of this instance to use primaries.
#pragma once

#include "failover/PrimaryRight.h"
#include "failover/ReignRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

struct PrimaryRightsOptions {
  /// How long a right lasts, from the sending of the read that showed the
  /// primary. A failover waits for as long.
  Duration Validity = std::chrono::milliseconds(1000);
  /// What a promoter waits beyond the validity: clocks of instances run at
  /// rates at most 2% apart, and timers fire late.
  Duration Margin = std::chrono::milliseconds(60);
};

/// A right follows from a read of the store: a record that was open when the
/// read was sent can't lead to a promotion before the right has ended, as a
/// promoter first closes the record and then waits for longer than any right
/// lasts. Pure; not thread-safe.
class PrimaryRights {
public:
  explicit PrimaryRights(PrimaryRightsOptions Options = {})
      : Options(Options) {}

  /// All records as a read that was sent at AskedAt showed them, by the clock
  /// that also counts a suspend. Older reads than the newest are ignored.
  /// Returns whether a record has changed.
  bool onListing(const std::vector<ReignRecord> &Listed, TimePoint AskedAt);
  /// The right to a service's primary; nothing unless its record is open.
  [[nodiscard]] std::optional<PrimaryRight> right(const ServiceId &Id) const;
  /// The newest record of a service, or nullptr; valid until the next
  /// listing.
  [[nodiscard]] const ReignRecord *record(const ServiceId &Id) const;
  /// When the newest listing was asked for; nothing before the first.
  [[nodiscard]] const std::optional<TimePoint> &askedAt() const {
    return this->AskedAt;
  }
  /// How long a promoter waits after its closing write was acknowledged.
  [[nodiscard]] Duration closingWait() const {
    return this->Options.Validity + this->Options.Margin;
  }

private:
  PrimaryRightsOptions Options;
  std::map<ServiceId, ReignRecord> Records;
  std::optional<TimePoint> AskedAt;
};

} // namespace turmericpitch
