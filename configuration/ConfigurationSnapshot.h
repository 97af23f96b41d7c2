// The configuration in force at one moment, ready for lookups.
#pragma once

#include "configuration/Ticket.h"
#include "core/KeyValue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

namespace turmericpitch {

/// One configured object with the ticket that last set it.
struct ObjectRecord {
  TicketNumber SetBy;
  /// Canonical JSON; empty if the object was removed.
  std::string Json;

  bool operator==(const ObjectRecord &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->SetBy, this->Json);
  }
};

/// Immutable; safe to share between threads.
class ConfigurationSnapshot {
public:
  ConfigurationSnapshot() = default;

  /// A snapshot from the objects as the platform keeps them.
  /// Thread-safe. Errors: BadRequest naming each unreadable or dangling
  /// object.
  static Result<ConfigurationSnapshot>
  build(Revision AsOf, TicketNumber Newest,
        std::map<ObjectKey, ObjectRecord> Records);

  [[nodiscard]] Revision revision() const { return this->AsOf; }
  [[nodiscard]] TicketNumber newestTicket() const { return this->Newest; }
  [[nodiscard]] const std::map<ObjectKey, ObjectRecord> &records() const {
    return this->Records;
  }

  /// Lookups return nullptr if there is no such object. Thread-safe; the
  /// pointers live as long as the snapshot.
  [[nodiscard]] const Brand *brandByHost(const std::string &Host) const;
  [[nodiscard]] const Brand *brand(const BrandId &Id) const;
  [[nodiscard]] const ClientAccount *
  accountByCredential(const std::string &CredentialDigest) const;
  [[nodiscard]] const DatabaseService *service(const ServiceId &Id) const;
  [[nodiscard]] const Database *database(const DatabaseId &Id) const;
  [[nodiscard]] const std::unordered_map<DatabaseId, Database> &
  databases() const {
    return this->Databases;
  }

private:
  void addObject(const ObjectKey &Key, const std::string &Json,
                 YamlProblems &Problems);
  void checkReferences(YamlProblems &Problems) const;

  Revision AsOf;
  TicketNumber Newest;
  std::map<ObjectKey, ObjectRecord> Records;
  std::unordered_map<BrandId, Brand> Brands;
  std::unordered_map<std::string, BrandId> BrandsByHost;
  std::unordered_map<std::string, ClientAccount> AccountsByCredential;
  std::unordered_map<ServiceId, DatabaseService> Services;
  std::unordered_map<DatabaseId, Database> Databases;
};

using SharedConfiguration = std::shared_ptr<const ConfigurationSnapshot>;

/// The records after the ticket: its objects replaced or removed whole.
/// Thread-safe.
std::map<ObjectKey, ObjectRecord>
applyTicket(const Ticket &Change, std::map<ObjectKey, ObjectRecord> Records);

} // namespace turmericpitch
