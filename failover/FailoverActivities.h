// What this instance does as a promoter, per service.
#pragma once

#include "core/Identifiers.h"

#include <map>

namespace turmericpitch {

/// The step of this instance's work on a service's record.
enum class FailoverStep : std::uint8_t {
  /// Finds out whether a failover is needed: reads the store, queries members
  /// and other instances. Nothing was written.
  Checking,
  /// Writes the record, or may have written it.
  Changing,
};

/// Answers a primary that some instances can't reach while the store is silent:
/// their checks wait for the store, and if they granted nothing meanwhile, the
/// instances that reach the primary would lose their leases as well. Not
/// thread-safe.
class FailoverActivities {
public:
  void begin(const ServiceId &Id, FailoverStep Step) { this->Steps[Id] = Step; }
  void end(const ServiceId &Id) { this->Steps.erase(Id); }
  [[nodiscard]] bool isActive(const ServiceId &Id) const {
    return this->Steps.contains(Id);
  }
  [[nodiscard]] bool empty() const { return this->Steps.empty(); }
  /// Whether this instance may grant leases on the service's primary. Not while
  /// its own write may have closed the record without its knowing.
  [[nodiscard]] bool mayGrant(const ServiceId &Id) const;

private:
  std::map<ServiceId, FailoverStep> Steps;
};

} // namespace turmericpitch
