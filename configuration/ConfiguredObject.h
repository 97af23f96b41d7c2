// One configured object as it is kept in memory.
#pragma once

#include "configuration/Ticket.h"

#include <memory>
#include <variant>

namespace turmericpitch {

/// One configured object with the ticket that last set it, as it is stored
/// and sent.
struct ObjectRecord {
  TicketNumber SetBy;
  /// Canonical JSON; empty if the object was removed.
  std::string Json;

  bool operator==(const ObjectRecord &) const = default;
};

/// A parsed object. Immutable once shared.
struct ConfiguredObject {
  ObjectKey Key;
  TicketNumber SetBy;
  /// Without a value if the object was removed.
  std::variant<std::monostate, Brand, ClientAccount, DatabaseService, Database>
      State;

  [[nodiscard]] bool removed() const { return this->State.index() == 0; }
};

using SharedObject = std::shared_ptr<const ConfiguredObject>;

/// Parses a record. Problems go to the document; nullptr if it is no mapping.
/// Thread-safe.
SharedObject parseObject(const ObjectKey &Key, const ObjectRecord &Record,
                         YamlProblems &Problems);
/// The record that parseObject() takes back. Thread-safe.
ObjectRecord recordOf(const ConfiguredObject &Object);

/// The objects that the ticket sets or removes. Thread-safe.
std::vector<SharedObject> objectsOf(const Ticket &Change);

} // namespace turmericpitch
