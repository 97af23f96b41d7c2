// The record that instances exchange about an instance.
#pragma once

#include "core/Endpoint.h"
#include "core/Identifiers.h"

namespace turmericpitch {

/// Orders the records of one instance over its restarts and refutations.
/// Starts at the wall clock of the process's start, in milliseconds.
using Incarnation = Number<struct IncarnationTag>;

/// Whether an instance answers. Within one incarnation the value only
/// increases.
enum class InstanceHealth : std::uint8_t { Live = 0, Suspect = 1, Dead = 2 };

/// An instance as its peers know it. Immutable value.
struct InstanceRecord {
  InstanceId Id;
  ZoneId Zone;
  /// Where the instance receives datagrams of its peers.
  Endpoint PeerEndpoint;
  Incarnation IncarnationNumber;
  /// The instance accepts no new work. Never cleared within an incarnation.
  bool Leaving = false;
  InstanceHealth Health = InstanceHealth::Live;

  auto operator<=>(const InstanceRecord &) const = default;
};

/// Merges a received record into the known one. A higher incarnation replaces
/// the record, the same one only advances it, and a lower one is ignored.
/// Commutative and idempotent, so the order of arrival doesn't matter.
/// Precondition: both records are about the same instance. Thread-safe.
InstanceRecord merged(const InstanceRecord &Known,
                      const InstanceRecord &Received);

} // namespace turmericpitch
