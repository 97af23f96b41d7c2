// The changes that bring a configuration from one ticket to a later one.
#pragma once

#include "configuration/ConfiguredObject.h"
#include "core/KeyValue.h"

#include <map>

namespace turmericpitch {

/// A ticket with too many objects for one transaction that writes each object
/// to its own key. It is stored under one key until its objects have been moved
/// to their own keys.
struct LargeTicket {
  TicketNumber Number;
  /// Path of the last object moved, "kind/name"; empty if none has been moved.
  std::string LastMovedPath;

  auto operator<=>(const LargeTicket &) const = default;
};

/// The newest accepted ticket. Each ticket is accepted by a compare-and-swap on
/// this head.
struct TicketHead {
  TicketNumber Newest;
  std::string Digest;
  /// Number of tickets accepted so far.
  std::uint64_t AcceptedCount = 0;
  /// Large tickets whose objects have not all been moved yet, oldest first.
  std::vector<LargeTicket> LargeTickets;

  bool operator==(const TicketHead &) const = default;
};

/// Every object set by a ticket later than After, up to Head. Applying it
/// brings any configuration at After or later to Head in one step; records that
/// are not newer than the object already present are ignored.
struct ConfigurationChange {
  TicketNumber After;
  TicketHead Head;
  /// Store revision that last wrote the head; 0 if there is no head.
  Revision HeadRevision;
  std::map<ObjectKey, ObjectRecord> Records;

  bool operator==(const ConfigurationChange &) const = default;
};

} // namespace turmericpitch
