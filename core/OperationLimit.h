// The limit on the operations of a client account.
#pragma once

#include <compare>

namespace turmericpitch {

/// In any window of length W an account may run at most PerSecond x W + Burst
/// operations, over all instances. Immutable value.
struct OperationLimit {
  double PerSecond = 0;
  double Burst = 0;

  auto operator<=>(const OperationLimit &) const = default;
};

} // namespace turmericpitch
