// Estimates how fast a service's members can start statements.
#pragma once

#include "routing/Placement.h"

#include <optional>
#include <span>

namespace turmericpitch {

/// What this instance may expect of a service's members. Immutable value.
struct CapacityEstimate {
  /// Time between two starts if all members serve the statements.
  Duration StartInterval{0};
  /// Typical service time at the slowest member.
  Duration ServiceTime{0};

  bool operator==(const CapacityEstimate &) const = default;
};

/// Empty if no member is usable. Pure; thread-safe.
std::optional<CapacityEstimate>
estimateCapacity(std::span<const MemberCandidate> Candidates);

} // namespace turmericpitch
