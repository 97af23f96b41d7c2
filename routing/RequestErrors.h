// The errors that the courses of requests share.
#pragma once

#include "core/Error.h"

namespace turmericpitch {

/// No member could serve the request before its deadline. Thread-safe.
Error noMember();
/// A write ran, or may have, and isn't known to survive. Thread-safe.
Error notConfirmed();

/// Time left at which nothing new is begun.
inline constexpr Duration MinRemainingTime = std::chrono::milliseconds(1);
/// How often a request that waits for a primary looks for one.
inline constexpr Duration ViewPollInterval = std::chrono::milliseconds(20);

} // namespace turmericpitch
