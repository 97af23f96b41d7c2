// Decides which idle connections of a member are worth keeping.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace turmericpitch {

/// The indices of a member's idle connections, the one to keep longest first:
/// by the use of the account that it serves, then by its own last use.
/// AccountWeights: recent statements of each connection's account at this
/// instance, in the order in which the connections became idle.
///
/// Answers more accounts than a member has places for: the connection used last
/// mostly belongs to an account that won't return soon. If the last use alone
/// counted, each of those would push out a connection of an account in steady
/// use. Pure; thread-safe.
std::vector<std::size_t>
rankIdleConnections(std::span<const double> AccountWeights);

} // namespace turmericpitch
