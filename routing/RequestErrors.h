// Errors and constants shared by the request state machines.
#pragma once

#include "core/Error.h"

namespace turmericpitch {

/// NotRun: no member could serve the request before its deadline. Thread-safe.
Error noMemberError();
/// OutcomeUnknown: a write ran, or may have run, and is not known to survive a
/// failover. Thread-safe.
Error notConfirmedError();

/// With less time than this before the deadline, no attempt is started.
inline constexpr Duration MinRemainingTime = std::chrono::milliseconds(1);
/// Interval at which a request that waits for a primary checks for one.
inline constexpr Duration ViewPollInterval = std::chrono::milliseconds(20);

} // namespace turmericpitch
