// The promises that this instance gives as a grantor.
#pragma once

#include "core/Time.h"
#include "failover/PrimaryRecord.h"

#include <map>

namespace turmericpitch {

struct LeaseGrantsOptions {
  /// How long a grant binds this instance. Longer than a lease lasts.
  Duration MaxUse = std::chrono::milliseconds(860);
};

/// A grantor promises a promoter to grant nothing more on the record that it
/// has closed; grants that were given before end within MaxUse of the consent.
/// Nothing is kept across a restart, so a restarted grantor grants only what it
/// has read from the store itself: a record that it had consented to close is
/// closed in the store. Pure; not thread-safe.
class LeaseGrants {
public:
  explicit LeaseGrants(LeaseGrantsOptions Options = {}) : Options(Options) {}

  /// Promises to keep a record open if it may be granted, and returns whether
  /// it may: if it is open and newer than the last closing that this instance
  /// consented to. Precondition: this instance has read the store itself since
  /// its start.
  bool grant(const PrimaryRecord &Record, TimePoint Now);
  /// Consents to the closing of a record that the store holds at Closed, and
  /// grants nothing on earlier ones.
  void consent(const ServiceId &Id, Revision Closed);
  /// The newest closing of a service that this instance has consented to; 0 if
  /// none.
  [[nodiscard]] Revision consentedTo(const ServiceId &Id) const;
  /// Until when the grants bind this instance.
  [[nodiscard]] TimePoint grantedUntil(const ServiceId &Id) const;

private:
  LeaseGrantsOptions Options;
  std::map<ServiceId, TimePoint> GrantedUntil;
  std::map<ServiceId, Revision> ConsentedTo;
};

} // namespace turmericpitch
