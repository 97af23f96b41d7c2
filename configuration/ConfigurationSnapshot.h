// An immutable configuration with lookup indexes.
#pragma once

#include "configuration/ConfigurationChange.h"

#include <boost/range/adaptor/transformed.hpp>
#include <boost/range/iterator_range.hpp>
#include <memory>
#include <utility>

namespace turmericpitch {

/// The whole configuration at one ticket. Immutable; safe to share between
/// threads. Successive snapshots share their objects, so a change copies one
/// pointer for each unchanged object.
class ConfigurationSnapshot {
public:
  ConfigurationSnapshot() = default;

  /// Builds a snapshot from all records. Thread-safe. Errors: BadRequest that
  /// lists each unreadable object and each reference to a missing object.
  static Result<ConfigurationSnapshot>
  build(Revision HeadRevision, TicketNumber Newest,
        std::map<ObjectKey, ObjectRecord> Records);

  /// Returns the snapshot with a change applied. Precondition: the change's
  /// After is not later than newestTicket(). Thread-safe. Errors: as build().
  [[nodiscard]] Result<ConfigurationSnapshot>
  withChange(const ConfigurationChange &Change) const;
  /// Returns the snapshot with a ticket applied that is not stored yet.
  /// Thread-safe. Errors: as build(); one error lists every problem.
  [[nodiscard]] Result<ConfigurationSnapshot>
  withChange(const Ticket &Change) const;
  /// Returns the same objects with a newer head. Thread-safe.
  [[nodiscard]] ConfigurationSnapshot withHead(TicketHead Newer,
                                               Revision Modified) const;

  /// Store revision that last wrote the head.
  [[nodiscard]] Revision revision() const { return this->HeadRevision; }
  [[nodiscard]] const TicketHead &head() const { return this->Head; }
  [[nodiscard]] TicketNumber newestTicket() const { return this->Head.Newest; }
  /// Copies all records, including those of removed objects.
  [[nodiscard]] std::map<ObjectKey, ObjectRecord> records() const {
    return this->changesAfter({}).Records;
  }
  /// The change that brings a configuration at After to this one.
  [[nodiscard]] ConfigurationChange changesAfter(TicketNumber After) const;
  /// The objects, including removed ones, whose last change came from this
  /// ticket, in key order.
  [[nodiscard]] std::vector<SharedObject>
  objectsLastSetBy(TicketNumber Setter) const;
  [[nodiscard]] std::size_t objectCount() const { return this->Objects.size(); }

  /// Lookups return nullptr if there is no such object. Thread-safe. The
  /// pointers are valid as long as the snapshot exists.
  [[nodiscard]] const Brand *brandByHost(const std::string &Host) const;
  [[nodiscard]] const Brand *brand(const BrandId &Id) const;
  [[nodiscard]] const ClientAccount *
  accountByCredential(const std::string &CredentialDigest) const;
  [[nodiscard]] const DatabaseService *service(const ServiceId &Id) const;
  [[nodiscard]] const Database *database(const DatabaseId &Id) const;
  /// The databases as pairs of id and database, ordered by id.
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
  /// Each list is sorted by its lookup key.
  ObjectList Objects;
  ObjectList Removed;
  ObjectList BrandsByHost;
  ObjectList AccountsByCredential;
};

using SharedConfiguration = std::shared_ptr<const ConfigurationSnapshot>;

} // namespace turmericpitch
