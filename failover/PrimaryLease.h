// The lease of an instance to use a service's primary.
#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"

#include <cstdint>

namespace turmericpitch {

/// ExpiresAt when it is certain that no other member was promoted. Immutable
/// value.
struct PrimaryLease {
  /// Counts the primaries of a service; grows with each promotion.
  std::uint64_t Epoch = 0;
  UpstreamId Primary;
  /// By the clock that also counts a suspend.
  TimePoint ExpiresAt;
  /// A change of primary is under way: the lease is not renewed.
  bool Ending = false;

  auto operator<=>(const PrimaryLease &) const = default;
};

} // namespace turmericpitch
