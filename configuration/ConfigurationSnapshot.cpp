#include "configuration/ConfigurationSnapshot.h"

#include <algorithm>

namespace turmericpitch {

namespace {

template <typename Map, typename Key>
const typename Map::mapped_type *lookUp(const Map &In, const Key &K) {
  auto Found = In.find(K);
  return Found == In.end() ? nullptr : &Found->second;
}

template <typename Object>
void replaceAll(ObjectKind Kind, TicketNumber Number,
                const std::vector<Object> &Objects,
                std::map<ObjectKey, ObjectRecord> &Records) {
  for (const Object &Entry : Objects)
    Records[{Kind, Entry.Id.Value}] = {.SetBy = Number, .Json = toJson(Entry)};
}

} // namespace

Result<ConfigurationSnapshot>
ConfigurationSnapshot::build(Revision AsOf, TicketNumber Newest,
                             std::map<ObjectKey, ObjectRecord> Records) {
  YamlProblems Problems("configuration");
  ConfigurationSnapshot Built;
  Built.AsOf = AsOf;
  Built.Newest = Newest;
  for (const auto &[Key, Record] : Records)
    if (!Record.Json.empty())
      Built.addObject(Key, Record.Json, Problems);
  Built.checkReferences(Problems);
  if (!Problems.none())
    return boost::leaf::new_error(Problems.asError());
  Built.Records = std::move(Records);
  return Built;
}

void ConfigurationSnapshot::addObject(const ObjectKey &Key,
                                      const std::string &Json,
                                      YamlProblems &Problems) {
  auto Root = parseYamlMapping(Json, Problems);
  if (!Root)
    return;
  std::string Path = std::string(toString(Key.Kind)) + " " + Key.Id;
  YamlReader Reader(*Root, Path, Problems);
  switch (Key.Kind) {
  case ObjectKind::Brand: {
    Brand Object = readBrand(Reader);
    if (!this->BrandsByHost.emplace(Object.Host, Object.Id).second)
      Reader.problem("host", "another brand has it",
                     "give each brand a host of its own");
    this->Brands.emplace(Object.Id, std::move(Object));
    break;
  }
  case ObjectKind::ClientAccount: {
    ClientAccount Object = readClientAccount(Reader);
    std::string Digest = Object.CredentialDigest;
    if (!this->AccountsByCredential.emplace(Digest, std::move(Object)).second)
      Reader.problem("credential_digest", "another client account has it",
                     "give each client account a credential of its own");
    break;
  }
  case ObjectKind::DatabaseService: {
    DatabaseService Object = readDatabaseService(Reader);
    this->Services.emplace(Object.Id, std::move(Object));
    break;
  }
  case ObjectKind::Database: {
    Database Object = readDatabase(Reader);
    this->Databases.emplace(Object.Id, std::move(Object));
    break;
  }
  }
}

void ConfigurationSnapshot::checkReferences(YamlProblems &Problems) const {
  for (const auto &[Digest, Account] : this->AccountsByCredential) {
    if (!this->Brands.contains(Account.Owner))
      Problems.add({}, "client_account " + Account.Id.Value,
                   "names the unknown brand " + Account.Owner.Value,
                   "add the brand in the same ticket");
    for (const ServiceId &Id : Account.Services) {
      const DatabaseService *Named = this->service(Id);
      if (!Named)
        Problems.add({}, "client_account " + Account.Id.Value,
                     "names the unknown database service " + Id.Value,
                     "add the service in the same ticket");
      else if (Named->Owner != Account.Owner)
        Problems.add({}, "client_account " + Account.Id.Value,
                     "names a service of another brand",
                     "name services of its own brand only");
    }
  }
  for (const auto &[Id, Service] : this->Services) {
    if (!this->Brands.contains(Service.Owner))
      Problems.add({}, "database_service " + Id.Value,
                   "names the unknown brand " + Service.Owner.Value,
                   "add the brand in the same ticket");
    for (const DatabaseId &Named : Service.Databases)
      if (!this->database(Named))
        Problems.add({}, "database_service " + Id.Value,
                     "names the unknown database " + Named.Value,
                     "add the database in the same ticket");
  }
}

const Brand *ConfigurationSnapshot::brandByHost(const std::string &Host) const {
  const BrandId *Id = lookUp(this->BrandsByHost, Host);
  return Id ? this->brand(*Id) : nullptr;
}

const Brand *ConfigurationSnapshot::brand(const BrandId &Id) const {
  return lookUp(this->Brands, Id);
}

const ClientAccount *ConfigurationSnapshot::accountByCredential(
    const std::string &CredentialDigest) const {
  return lookUp(this->AccountsByCredential, CredentialDigest);
}

const DatabaseService *
ConfigurationSnapshot::service(const ServiceId &Id) const {
  return lookUp(this->Services, Id);
}

const Database *ConfigurationSnapshot::database(const DatabaseId &Id) const {
  return lookUp(this->Databases, Id);
}

std::map<ObjectKey, ObjectRecord>
applyTicket(const Ticket &Change, std::map<ObjectKey, ObjectRecord> Records) {
  replaceAll(ObjectKind::Brand, Change.Id, Change.Brands, Records);
  replaceAll(ObjectKind::ClientAccount, Change.Id, Change.ClientAccounts,
             Records);
  replaceAll(ObjectKind::DatabaseService, Change.Id, Change.DatabaseServices,
             Records);
  replaceAll(ObjectKind::Database, Change.Id, Change.Databases, Records);
  for (const ObjectKey &Key : Change.Removed)
    Records[Key] = {.SetBy = Change.Id, .Json = ""};
  return Records;
}

} // namespace turmericpitch
