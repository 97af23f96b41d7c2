// Selects the instances that pool the credit of account limits.
#pragma once

#include "membership/InstanceRegistry.h"

#include <cstddef>
#include <vector>

namespace turmericpitch {

/// Number of instances of a zone that one keeper serves: it handles two
/// datagrams of each several times a second.
inline constexpr std::size_t InstancesPerKeeper = 64;

/// Maximum number of keepers: a message names them all.
inline constexpr std::size_t MaxLimitKeepers = 8;

/// The keepers among the registered instances: at least one in each zone, so
/// that a zone that is cut off pools what it has; if there would be more than
/// MaxLimitKeepers, the first of each zone come before the second. The loss of
/// an instance moves only the keeper that it was, unless a zone's size crosses
/// a multiple of InstancesPerKeeper. Pure; thread-safe.
std::vector<InstanceId>
selectLimitKeepers(const std::vector<RegisteredInstance> &Instances);

} // namespace turmericpitch
