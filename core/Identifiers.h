// The identifiers every part shares.
#pragma once

#include "core/Name.h"

namespace turmericpitch {

/// One running daemon of this system.
using InstanceId = Name<struct InstanceTag>;
/// One availability zone of the platform.
using ZoneId = Name<struct ZoneTag>;
/// One client account; callers authenticate as it.
using ClientAccountId = Name<struct ClientAccountTag>;
/// One member of a database group.
using UpstreamId = Name<struct UpstreamTag>;
/// One database group: a primary and its replicas.
using DatabaseId = Name<struct DatabaseTag>;
/// One database service: the databases a client account reaches together.
using ServiceId = Name<struct ServiceTag>;
/// One brand under which the operator resells the fleet.
using BrandId = Name<struct BrandTag>;
/// One caller request, unique per instance start.
using RequestId = Name<struct RequestTag>;
/// One open transaction, as its caller names it.
using TransactionId = Name<struct TransactionTag>;
/// A caller's key under which a write runs at most once.
using IdempotencyKey = Name<struct IdempotencyTag>;
/// Number of a change ticket.
using TicketNumber = Number<struct TicketTag>;

} // namespace turmericpitch
