// A change ticket: a number and the complete new state of the objects it
// changes.
#pragma once

#include "configuration/Objects.h"
#include "core/Error.h"

#include <string_view>

namespace turmericpitch {

/// The kinds of configured objects. The values are part of the peer protocol.
enum class ObjectKind { Brand, ClientAccount, DatabaseService, Database };

/// Name of the kind in tickets and keys; stable. Thread-safe.
std::string_view toString(ObjectKind Kind);
/// The kind with this name, if there is one. Thread-safe.
std::optional<ObjectKind> objectKindFromString(std::string_view Text);

/// Identifies one configured object.
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
  /// Objects to remove.
  std::vector<ObjectKey> Removed;

  bool operator==(const Ticket &) const = default;
};

/// Largest ticket accepted, in bytes.
inline constexpr std::size_t MaximumTicketBytes = 512 * 1024;

/// Parses a ticket in YAML or JSON. File is the source name used in messages.
/// Thread-safe. Errors: BadRequest that lists every problem with its remedy.
Result<Ticket> parseTicket(std::string_view Text, const std::string &File);

/// SHA-256 of the ticket's parsed content, in hexadecimal; independent of the
/// formatting of its text. Thread-safe.
std::string digestOf(const Ticket &Subject);

} // namespace turmericpitch
