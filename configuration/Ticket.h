// A change ticket: one number and the complete new state of what it touches.
#pragma once

#include "configuration/Objects.h"
#include "core/Error.h"

#include <string_view>

namespace turmericpitch {

/// The sorts of configured objects, as they stand in keys.
enum class ObjectKind { Brand, ClientAccount, DatabaseService, Database };

/// The kind's stable name, as in tickets and keys. Thread-safe.
std::string_view toString(ObjectKind Kind);
/// The kind with this stable name. Thread-safe.
std::optional<ObjectKind> objectKindFromString(std::string_view Text);

/// Names one configured object.
struct ObjectKey {
  ObjectKind Kind = ObjectKind::Brand;
  std::string Id;

  auto operator<=>(const ObjectKey &) const = default;
};

/// A parsed ticket. Immutable value.
struct Ticket {
  TicketNumber Id;
  std::vector<Brand> Brands;
  std::vector<ClientAccount> ClientAccounts;
  std::vector<DatabaseService> DatabaseServices;
  std::vector<Database> Databases;
  /// The objects that cease to exist.
  std::vector<ObjectKey> Removed;

  bool operator==(const Ticket &) const = default;
};

/// Largest ticket taken, bytes.
inline constexpr std::size_t MaximumTicketBytes = 512 * 1024;

/// Parses a ticket in YAML or JSON. File names the source in messages.
/// Thread-safe. Errors: BadRequest with every problem and its remedy.
Result<Ticket> parseTicket(std::string_view Text, const std::string &File);

/// Digest over the ticket's contents, independent of its spelling.
/// Thread-safe.
std::string digestOf(const Ticket &Subject);

} // namespace turmericpitch
