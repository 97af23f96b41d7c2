// The lease under which an instance uses the primary of a service.
#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"

#include <cstdint>

namespace turmericpitch {

/// Guarantees that no other member is promoted before the lease expires.
/// Immutable value.
struct PrimaryLease {
  /// Increases with each promotion in the service.
  std::uint64_t Epoch = 0;
  UpstreamId Primary;
  /// Time of the clock that keeps running while the system is suspended.
  TimePoint ExpiresAt;
  /// A change of primary is in progress: the lease is not renewed.
  bool Ending = false;

  auto operator<=>(const PrimaryLease &) const = default;
};

} // namespace turmericpitch
