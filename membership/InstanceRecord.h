// What instances tell each other about an instance.
#pragma once

#include "core/Endpoint.h"
#include "core/Identifiers.h"

namespace turmericpitch {

/// Orders what is said about one instance over its restarts and refutations.
/// Begins at the wall clock of the process's start, in milliseconds.
using Incarnation = Number<struct IncarnationTag>;

/// Whether an instance answers; within one incarnation only later values
/// take the place of earlier ones.
enum class InstanceHealth : std::uint8_t { Live = 0, Suspect = 1, Dead = 2 };

/// One instance as its peers know it. Immutable value.
struct InstanceRecord {
  InstanceId Id;
  ZoneId Zone;
  /// Where it takes peers' datagrams.
  Endpoint PeerEndpoint;
  Incarnation IncarnationNumber;
  /// It takes no new work; never unset within an incarnation.
  bool Leaving = false;
  InstanceHealth Health = InstanceHealth::Live;

  auto operator<=>(const InstanceRecord &) const = default;
};

/// What is known once Received is taken in: a higher incarnation replaces, the
/// same one only moves on, a lower one changes nothing. Commutative and
/// idempotent, so the order of arrival doesn't matter. Precondition: both
/// are about one instance. Thread-safe.
InstanceRecord merged(const InstanceRecord &Known,
                      const InstanceRecord &Received);

} // namespace turmericpitch
