// The configuration in force at one moment, ready for lookups.
#pragma once

#include "configuration/ConfigurationChange.h"

#include <boost/range/adaptor/transformed.hpp>
#include <boost/range/iterator_range.hpp>
#include <memory>
#include <utility>

namespace turmericpitch {

/// Immutable; safe to share between threads. Objects are shared between a
/// snapshot and its successors, so that a change costs one pointer for each
/// object that it leaves alone.
class ConfigurationSnapshot {
public:
  ConfigurationSnapshot() = default;

  /// A snapshot from all records. Thread-safe. Errors: BadRequest naming each
  /// unreadable or dangling object.
  static Result<ConfigurationSnapshot>
  build(Revision HeadRevision, TicketNumber Newest,
        std::map<ObjectKey, ObjectRecord> Records);

  /// The snapshot after a change. Precondition: the change's After is not
  /// later than newestTicket(). Thread-safe. Errors: as build().
  [[nodiscard]] Result<ConfigurationSnapshot>
  withChange(const ConfigurationChange &Change) const;
  /// The snapshot after a ticket that is not stored yet. Thread-safe.
  /// Errors: as build(), every problem at once.
  [[nodiscard]] Result<ConfigurationSnapshot>
  withChange(const Ticket &Change) const;
  /// The same objects under a head written anew. Thread-safe.
  [[nodiscard]] ConfigurationSnapshot withHead(TicketHead Newer,
                                               Revision Modified) const;

  /// The revision that last wrote the head.
  [[nodiscard]] Revision revision() const { return this->HeadRevision; }
  [[nodiscard]] const TicketHead &head() const { return this->Head; }
  [[nodiscard]] TicketNumber newestTicket() const { return this->Head.Newest; }
  /// All records, removed objects too. Costs a copy.
  [[nodiscard]] std::map<ObjectKey, ObjectRecord> records() const {
    return this->changesAfter({}).Records;
  }
  /// What brings a configuration at After to this one.
  [[nodiscard]] ConfigurationChange changesAfter(TicketNumber After) const;
  /// The present and removed objects that Setter set, in key order.
  [[nodiscard]] std::vector<SharedObject>
  objectsLastSetBy(TicketNumber Setter) const;
  [[nodiscard]] std::size_t objectCount() const { return this->Objects.size(); }

  /// Lookups return nullptr if there is no such object. Thread-safe; the
  /// pointers live as long as the snapshot.
  [[nodiscard]] const Brand *brandByHost(const std::string &Host) const;
  [[nodiscard]] const Brand *brand(const BrandId &Id) const;
  [[nodiscard]] const ClientAccount *
  accountByCredential(const std::string &CredentialDigest) const;
  [[nodiscard]] const DatabaseService *service(const ServiceId &Id) const;
  [[nodiscard]] const Database *database(const DatabaseId &Id) const;
  /// The databases as pairs of id and database, in order of their ids.
  [[nodiscard]] auto databases() const {
    auto First = this->firstOfKind(ObjectKind::Database);
    return boost::make_iterator_range(First, this->Objects.end()) |
           boost::adaptors::transformed([](const SharedObject &Object) {
             const auto &Each = std::get<Database>(Object->State);
             return std::pair<const DatabaseId &, const Database &>(Each.Id,
                                                                    Each);
           });
  }

private:
  using ObjectList = std::vector<SharedObject>;

  [[nodiscard]] ObjectList::const_iterator firstOfKind(ObjectKind Kind) const;
  [[nodiscard]] SharedObject find(const ObjectKey &Key) const;
  [[nodiscard]] Result<ConfigurationSnapshot>
  withObjects(const ObjectList &Newer, YamlProblems &Problems) const;
  void erase(const ObjectKey &Key);
  void insert(const SharedObject &Object, YamlProblems &Problems);
  void checkReferences(YamlProblems &Problems) const;
  void checkAccount(const ClientAccount &Account, YamlProblems &Problems) const;
  void checkService(const DatabaseService &Service,
                    YamlProblems &Problems) const;

  TicketHead Head;
  Revision HeadRevision;
  /// Each sorted by the key that it is searched by.
  ObjectList Objects;
  ObjectList Removed;
  ObjectList BrandsByHost;
  ObjectList AccountsByCredential;
};

using SharedConfiguration = std::shared_ptr<const ConfigurationSnapshot>;

} // namespace turmericpitch
