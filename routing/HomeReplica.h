// Chooses the replica of a service that an instance prefers for reads.
#pragma once

#include "routing/MemberRegistry.h"

#include <optional>
#include <span>

namespace turmericpitch {

/// The replica at which an instance keeps its connections for reads. If each
/// instance spread its reads over all replicas, it would need a connection to
/// each, and members accept too few for that. A replica in Zone is preferred,
/// if there is one; otherwise the choice is spread over the instances by
/// hashing. Empty if no replica takes new statements. Pure; thread-safe.
std::optional<UpstreamId>
homeReplica(const InstanceId &Instance, const ZoneId &Zone,
            std::span<const RegisteredMember> Members);

} // namespace turmericpitch
