// Orders the store's revisions across restores of the store.
#pragma once

#include "core/KeyValue.h"

namespace turmericpitch {

/// Number of times that the store was restored from an older copy, after which
/// it gives out revisions again.
using StoreEra = Number<struct StoreEraTag>;

/// The position of a revision in the history of the store: ordered by era, then
/// by the revision that the store gave out. Revisions in this project are such
/// positions, so that one of a later era is always greater. They fit into 53
/// bits for the first 8,192 eras. Pure; thread-safe.
Revision positionInHistory(StoreEra Era, std::uint64_t StoreRevision);
/// The era of a position. Pure; thread-safe.
StoreEra eraOf(Revision Position);
/// The revision as the store knows it. Pure; thread-safe.
std::uint64_t storeRevisionOf(Revision Position);

} // namespace turmericpitch
