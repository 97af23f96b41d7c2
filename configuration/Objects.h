// What operators configure: brands, client accounts, services, databases.
#pragma once

#include "core/Endpoint.h"
#include "core/Identifiers.h"
#include "core/YamlReader.h"

#include <string>
#include <vector>

namespace turmericpitch {

/// A name under which the fleet is resold. Callers reach it by its host.
struct Brand {
  BrandId Id;
  /// The Host header that selects the brand, without a port.
  std::string Host;

  bool operator==(const Brand &) const = default;
};

/// A customer of one brand.
struct ClientAccount {
  ClientAccountId Id;
  BrandId Owner;
  /// SHA-256 of the bearer credential, in hexadecimal.
  std::string CredentialDigest;
  /// The services that the account may reach.
  std::vector<ServiceId> Services;
  /// Relative share of scarce capacity under overload.
  std::uint32_t Weight = 1;

  bool operator==(const ClientAccount &) const = default;
};

/// A group of databases reached together.
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
  /// Marked as leaving: no new work goes to it.
  bool Leaving = false;

  bool operator==(const DatabaseMember &) const = default;
};

/// One database group.
struct Database {
  DatabaseId Id;
  /// Connections each member takes, over all instances.
  std::uint32_t ConnectionLimit = 20;
  /// Statements a member runs at once.
  std::uint32_t Slots = 3;
  /// Whether instances may promote a replica when the primary is lost.
  bool PromotionAllowed = true;
  std::vector<DatabaseMember> Members;

  bool operator==(const Database &) const = default;
};

/// Reads one object of a ticket; problems go to the reader's document.
Brand readBrand(YamlReader &Reader);
ClientAccount readClientAccount(YamlReader &Reader);
DatabaseService readDatabaseService(YamlReader &Reader);
Database readDatabase(YamlReader &Reader);

/// The object as canonical JSON, which the readers above take back.
/// Thread-safe.
std::string toJson(const Brand &Object);
std::string toJson(const ClientAccount &Object);
std::string toJson(const DatabaseService &Object);
std::string toJson(const Database &Object);

} // namespace turmericpitch
