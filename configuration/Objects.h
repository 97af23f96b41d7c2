// The objects that operators configure: brands, client accounts, services and
// databases.
#pragma once

#include "core/Endpoint.h"
#include "core/Identifiers.h"
#include "core/OperationLimit.h"
#include "core/YamlReader.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericpitch {

/// A reseller brand. Callers select it by its host name.
struct Brand {
  BrandId Id;
  /// Value of the Host header that selects the brand, without a port.
  std::string Host;

  bool operator==(const Brand &) const = default;
};

/// A customer of one brand.
struct ClientAccount {
  ClientAccountId Id;
  BrandId Owner;
  /// Hexadecimal SHA-256 of the bearer credential.
  std::string CredentialDigest;
  /// Services that the account may access.
  std::vector<ServiceId> Services;
  /// Relative share of the capacity under overload.
  std::uint32_t Weight = 1;
  /// No limit if not set.
  std::optional<OperationLimit> Limit = std::nullopt;

  bool operator==(const ClientAccount &) const = default;
};

/// A group of databases that callers address under one name.
struct DatabaseService {
  ServiceId Id;
  BrandId Owner;
  std::vector<DatabaseId> Databases;

  bool operator==(const DatabaseService &) const = default;
};

/// One member of a database group.
struct DatabaseMember {
  UpstreamId Id;
  Endpoint Where;
  ZoneId Zone;
  /// Whether the member is being drained: it receives no new work.
  bool Leaving = false;

  bool operator==(const DatabaseMember &) const = default;
};

/// One database group.
struct Database {
  DatabaseId Id;
  /// Maximum connections to each member from all instances together.
  std::uint32_t ConnectionLimit = 20;
  /// Statements that a member executes concurrently.
  std::uint32_t Slots = 3;
  /// Whether instances may promote a replica when the primary fails.
  bool PromotionAllowed = true;
  std::vector<DatabaseMember> Members;

  bool operator==(const Database &) const = default;
};

/// Read one object of a ticket. Problems are added to the reader's document.
Brand readBrand(YamlReader &Reader);
ClientAccount readClientAccount(YamlReader &Reader);
DatabaseService readDatabaseService(YamlReader &Reader);
Database readDatabase(YamlReader &Reader);

/// The object as canonical JSON, which the functions above can read.
/// Thread-safe.
std::string toJson(const Brand &Object);
std::string toJson(const ClientAccount &Object);
std::string toJson(const DatabaseService &Object);
std::string toJson(const Database &Object);

} // namespace turmericpitch
