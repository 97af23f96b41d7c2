// How long the credit of a limit may be used.
#pragma once

#include "core/OperationLimit.h"
#include "core/Time.h"

namespace turmericpitch {

/// The age at which the credit of a limit expires: the time in which the limit
/// creates its burst, or MinBurst operations if that is more. Precondition:
/// Limit.PerSecond is positive. Thread-safe.
Duration creditAge(const OperationLimit &Limit, double MinBurst);

} // namespace turmericpitch
