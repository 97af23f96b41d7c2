// When a server that could not accept a connection tries again.
#pragma once

#include "core/Time.h"

namespace turmericpitch {

/// Accepting fails while the process has no room for another connection, for
/// example because all files that it may open are open. The connection stays
/// in the backlog, so trying again at once would fail again.
inline constexpr Duration AcceptRetryInterval = std::chrono::milliseconds(100);

} // namespace turmericpitch
