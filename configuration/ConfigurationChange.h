// What carries an instance from one ticket to a later one.
#pragma once

#include "configuration/ConfiguredObject.h"
#include "core/KeyValue.h"

#include <map>

namespace turmericpitch {

/// A ticket too large for one transaction on single keys: it stands whole
/// under one key until its objects have been moved to keys of their own.
struct LargeTicket {
  TicketNumber Number;
  /// The last object moved, "kind/name"; empty if none is.
  std::string MovedUpTo;

  auto operator<=>(const LargeTicket &) const = default;
};

/// The newest accepted ticket; every acceptance is a compare-and-swap on it.
struct TicketHead {
  TicketNumber Newest;
  std::string Digest;
  /// Tickets accepted so far.
  std::uint64_t Accepted = 0;
  /// Oldest first.
  std::vector<LargeTicket> Large;

  bool operator==(const TicketHead &) const = default;
};

/// Every object set by a ticket later than After, up to Head. Brings any
/// configuration from After on to Head in one step; older records in it
/// change nothing.
struct ConfigurationChange {
  TicketNumber After;
  TicketHead Head;
  /// When the head was last written; 0 if there is none.
  Revision HeadRevision;
  std::map<ObjectKey, ObjectRecord> Records;

  bool operator==(const ConfigurationChange &) const = default;
};

} // namespace turmericpitch
