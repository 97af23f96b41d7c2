// Identifier types shared by all modules.
#pragma once

#include "core/Name.h"

namespace turmericpitch {

/// One running proxy instance.
using InstanceId = Name<struct InstanceTag>;
/// One availability zone of the platform.
using ZoneId = Name<struct ZoneTag>;
/// One client account, as which callers authenticate.
using ClientAccountId = Name<struct ClientAccountTag>;
/// One member of a database group.
using UpstreamId = Name<struct UpstreamTag>;
/// One database group: a primary and its replicas.
using DatabaseId = Name<struct DatabaseTag>;
/// One database service: the databases that a client account accesses under
/// one name.
using ServiceId = Name<struct ServiceTag>;
/// One brand under which the operator resells the fleet.
using BrandId = Name<struct BrandTag>;
/// One caller request; unique for one run of an instance.
using RequestId = Name<struct RequestTag>;
/// One open transaction, identified by its caller.
using TransactionId = Name<struct TransactionTag>;
/// A key chosen by the caller; writes with the same key run at most once.
using IdempotencyKey = Name<struct IdempotencyTag>;
/// The number of a configuration change ticket.
using TicketNumber = Number<struct TicketTag>;

} // namespace turmericpitch
