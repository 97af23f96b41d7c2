// A configured object in memory and its stored record.
#pragma once

#include "configuration/Ticket.h"

#include <memory>
#include <variant>

namespace turmericpitch {

/// A configured object in the form in which it is stored and sent, with the
/// ticket that last set it.
struct ObjectRecord {
  TicketNumber SetBy;
  /// Canonical JSON of the object; empty if the object was removed.
  std::string Json;

  bool operator==(const ObjectRecord &) const = default;
};

/// A parsed object. Not modified once it is shared.
struct ConfiguredObject {
  ObjectKey Key;
  TicketNumber SetBy;
  /// std::monostate if the object was removed.
  std::variant<std::monostate, Brand, ClientAccount, DatabaseService, Database>
      State;

  [[nodiscard]] bool removed() const { return this->State.index() == 0; }
};

using SharedObject = std::shared_ptr<const ConfiguredObject>;

/// Parses a record and adds its problems to Problems. Returns nullptr if the
/// record is not a mapping. Thread-safe.
SharedObject parseObject(const ObjectKey &Key, const ObjectRecord &Record,
                         YamlProblems &Problems);
/// The record of an object; parseObject() is the inverse. Thread-safe.
ObjectRecord recordOf(const ConfiguredObject &Object);

/// All objects that the ticket sets or removes. Thread-safe.
std::vector<SharedObject> objectsOf(const Ticket &Change);

} // namespace turmericpitch
