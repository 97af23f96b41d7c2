#include "configuration/ConfigurationSnapshot.h"

#include <algorithm>

namespace turmericpitch {

namespace {

using ObjectList = std::vector<SharedObject>;

const ObjectKey &keyOf(const SharedObject &Object) { return Object->Key; }

const std::string &hostOf(const SharedObject &Object) {
  return std::get<Brand>(Object->State).Host;
}

const std::string &credentialOf(const SharedObject &Object) {
  return std::get<ClientAccount>(Object->State).CredentialDigest;
}

/// The object with this key in a list sorted by By, or nullptr.
template <typename Key, typename Projection>
const ConfiguredObject *search(const ObjectList &In, const Key &Wanted,
                               Projection By) {
  auto At = std::ranges::lower_bound(In, Wanted, {}, By);
  bool Found = At != In.end() && By(*At) == Wanted;
  return Found ? At->get() : nullptr;
}

/// Inserts the object unless its key is in the list already. Returns whether it
/// was inserted.
template <typename Projection>
bool insertSorted(ObjectList &Into, const SharedObject &Object, Projection By) {
  auto At = std::ranges::lower_bound(Into, By(Object), {}, By);
  if (At != Into.end() && By(*At) == By(Object))
    return false;
  Into.insert(At, Object);
  return true;
}

template <typename Projection>
void eraseSorted(ObjectList &From, const SharedObject &Object, Projection By) {
  auto At = std::ranges::lower_bound(From, By(Object), {}, By);
  if (At != From.end() && *At == Object)
    From.erase(At);
}

template <typename Object>
const Object *stateOf(const ConfiguredObject *Found) {
  return Found ? &std::get<Object>(Found->State) : nullptr;
}

} // namespace

Result<ConfigurationSnapshot>
ConfigurationSnapshot::build(Revision HeadRevision, TicketNumber Newest,
                             std::map<ObjectKey, ObjectRecord> Records) {
  ConfigurationChange Change;
  Change.Head.Newest = Newest;
  Change.HeadRevision = HeadRevision;
  Change.Records = std::move(Records);
  return ConfigurationSnapshot().withChange(Change);
}

Result<ConfigurationSnapshot>
ConfigurationSnapshot::withChange(const ConfigurationChange &Change) const {
  YamlProblems Problems("configuration");
  ObjectList Newer;
  for (const auto &[Key, Record] : Change.Records) {
    SharedObject Existing = this->find(Key);
    if (Existing && Existing->SetBy >= Record.SetBy)
      continue;
    SharedObject Parsed = parseObject(Key, Record, Problems);
    if (Parsed)
      Newer.push_back(std::move(Parsed));
  }
  BOOST_LEAF_AUTO(Next, this->withObjects(Newer, Problems));
  return Next.withHead(Change.Head, Change.HeadRevision);
}

Result<ConfigurationSnapshot>
ConfigurationSnapshot::withChange(const Ticket &Change) const {
  YamlProblems Problems("ticket " + std::to_string(Change.Id.Value));
  BOOST_LEAF_AUTO(Next, this->withObjects(objectsOf(Change), Problems));
  TicketHead Newer = this->Head;
  Newer.Newest = Change.Id;
  return Next.withHead(std::move(Newer), this->HeadRevision);
}

ConfigurationSnapshot ConfigurationSnapshot::withHead(TicketHead Newer,
                                                      Revision Modified) const {
  ConfigurationSnapshot Next(*this);
  Next.Head = std::move(Newer);
  Next.HeadRevision = Modified;
  return Next;
}

Result<ConfigurationSnapshot>
ConfigurationSnapshot::withObjects(const ObjectList &Newer,
                                   YamlProblems &Problems) const {
  ConfigurationSnapshot Next(*this);
  // All old versions are erased before any new one is inserted, because two
  // brands may exchange hosts in one ticket.
  for (const SharedObject &Object : Newer)
    Next.erase(Object->Key);
  for (const SharedObject &Object : Newer)
    Next.insert(Object, Problems);
  Next.checkReferences(Problems);
  if (!Problems.none())
    return boost::leaf::new_error(Problems.asError());
  return Next;
}

SharedObject ConfigurationSnapshot::find(const ObjectKey &Key) const {
  for (const ObjectList *List : {&this->Objects, &this->Removed}) {
    auto At = std::ranges::lower_bound(*List, Key, {}, keyOf);
    if (At != List->end() && (*At)->Key == Key)
      return *At;
  }
  return nullptr;
}

ConfigurationSnapshot::ObjectList::const_iterator
ConfigurationSnapshot::firstOfKind(ObjectKind Kind) const {
  return std::ranges::lower_bound(
      this->Objects, Kind, {},
      [](const SharedObject &Object) { return Object->Key.Kind; });
}

void ConfigurationSnapshot::erase(const ObjectKey &Key) {
  SharedObject Existing = this->find(Key);
  if (!Existing)
    return;
  if (Existing->removed()) {
    eraseSorted(this->Removed, Existing, keyOf);
    return;
  }
  eraseSorted(this->Objects, Existing, keyOf);
  if (Key.Kind == ObjectKind::Brand)
    eraseSorted(this->BrandsByHost, Existing, hostOf);
  if (Key.Kind == ObjectKind::ClientAccount)
    eraseSorted(this->AccountsByCredential, Existing, credentialOf);
}

void ConfigurationSnapshot::insert(const SharedObject &Object,
                                   YamlProblems &Problems) {
  if (Object->removed()) {
    insertSorted(this->Removed, Object, keyOf);
    return;
  }
  insertSorted(this->Objects, Object, keyOf);
  std::string Path =
      std::string(toString(Object->Key.Kind)) + " " + Object->Key.Id;
  if (Object->Key.Kind == ObjectKind::Brand &&
      !insertSorted(this->BrandsByHost, Object, hostOf))
    Problems.add({}, Path + ".host", "already used by another brand",
                 "use a different host for each brand");
  if (Object->Key.Kind == ObjectKind::ClientAccount &&
      !insertSorted(this->AccountsByCredential, Object, credentialOf))
    Problems.add({}, Path + ".credential_digest",
                 "already used by another client account",
                 "use a different credential for each client account");
}

void ConfigurationSnapshot::checkReferences(YamlProblems &Problems) const {
  for (const SharedObject &Object : this->Objects) {
    if (const auto *Account = std::get_if<ClientAccount>(&Object->State))
      this->checkAccount(*Account, Problems);
    if (const auto *Service = std::get_if<DatabaseService>(&Object->State))
      this->checkService(*Service, Problems);
  }
}

void ConfigurationSnapshot::checkAccount(const ClientAccount &Account,
                                         YamlProblems &Problems) const {
  std::string Path = "client_account " + Account.Id.Value;
  if (!this->brand(Account.Owner))
    Problems.add({}, Path, "refers to the unknown brand " + Account.Owner.Value,
                 "add the brand in the same ticket");
  for (const ServiceId &Id : Account.Services) {
    const DatabaseService *Named = this->service(Id);
    if (!Named)
      Problems.add({}, Path,
                   "refers to the unknown database service " + Id.Value,
                   "add the service in the same ticket");
    else if (Named->Owner != Account.Owner)
      Problems.add({}, Path,
                   "refers to a service of another brand: " + Id.Value,
                   "refer only to services of its own brand");
  }
}

void ConfigurationSnapshot::checkService(const DatabaseService &Service,
                                         YamlProblems &Problems) const {
  std::string Path = "database_service " + Service.Id.Value;
  if (!this->brand(Service.Owner))
    Problems.add({}, Path, "refers to the unknown brand " + Service.Owner.Value,
                 "add the brand in the same ticket");
  for (const DatabaseId &Named : Service.Databases)
    if (!this->database(Named))
      Problems.add({}, Path, "refers to the unknown database " + Named.Value,
                   "add the database in the same ticket");
}

ConfigurationChange
ConfigurationSnapshot::changesAfter(TicketNumber After) const {
  ConfigurationChange Change;
  Change.After = After;
  Change.Head = this->Head;
  Change.HeadRevision = this->HeadRevision;
  for (const ObjectList *List : {&this->Objects, &this->Removed})
    for (const SharedObject &Object : *List)
      if (Object->SetBy > After)
        Change.Records.emplace(Object->Key, recordOf(*Object));
  return Change;
}

std::vector<SharedObject>
ConfigurationSnapshot::objectsLastSetBy(TicketNumber Setter) const {
  ObjectList Set;
  for (const ObjectList *List : {&this->Objects, &this->Removed})
    for (const SharedObject &Object : *List)
      if (Object->SetBy == Setter)
        Set.push_back(Object);
  std::ranges::sort(Set, {}, keyOf);
  return Set;
}

const Brand *ConfigurationSnapshot::brandByHost(const std::string &Host) const {
  return stateOf<Brand>(search(this->BrandsByHost, Host, hostOf));
}

const Brand *ConfigurationSnapshot::brand(const BrandId &Id) const {
  return stateOf<Brand>(
      search(this->Objects, ObjectKey{ObjectKind::Brand, Id.Value}, keyOf));
}

const ClientAccount *ConfigurationSnapshot::accountByCredential(
    const std::string &CredentialDigest) const {
  return stateOf<ClientAccount>(
      search(this->AccountsByCredential, CredentialDigest, credentialOf));
}

const DatabaseService *
ConfigurationSnapshot::service(const ServiceId &Id) const {
  return stateOf<DatabaseService>(search(
      this->Objects, ObjectKey{ObjectKind::DatabaseService, Id.Value}, keyOf));
}

const Database *ConfigurationSnapshot::database(const DatabaseId &Id) const {
  return stateOf<Database>(
      search(this->Objects, ObjectKey{ObjectKind::Database, Id.Value}, keyOf));
}

} // namespace turmericpitch
