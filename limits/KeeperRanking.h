// Which keeper pools the credit of an account.
#pragma once

#include "core/Identifiers.h"

#include <vector>

namespace turmericpitch {

/// The first of the keepers for an account, by rendezvous hashing: the same for
/// any order of the keepers, and unchanged for most accounts if one is added or
/// removed. Precondition: Keepers isn't empty. Thread-safe.
const InstanceId &firstKeeper(const std::vector<InstanceId> &Keepers,
                              const ClientAccountId &Account);

} // namespace turmericpitch
