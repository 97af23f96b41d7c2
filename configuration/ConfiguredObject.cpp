#include "configuration/ConfiguredObject.h"

namespace turmericpitch {

namespace {

template <typename Object>
void appendObjects(ObjectKind Kind, TicketNumber Number,
                   const std::vector<Object> &Objects,
                   std::vector<SharedObject> &Into) {
  for (const Object &Entry : Objects)
    Into.push_back(std::make_shared<ConfiguredObject>(
        ConfiguredObject{.Key = {.Kind = Kind, .Id = Entry.Id.Value},
                         .SetBy = Number,
                         .State = Entry}));
}

std::string jsonOf(std::monostate /*Removed*/) { return ""; }
template <typename Object> std::string jsonOf(const Object &Entry) {
  return toJson(Entry);
}

} // namespace

SharedObject parseObject(const ObjectKey &Key, const ObjectRecord &Record,
                         YamlProblems &Problems) {
  ConfiguredObject Object{.Key = Key, .SetBy = Record.SetBy, .State = {}};
  if (Record.Json.empty())
    return std::make_shared<ConfiguredObject>(std::move(Object));
  auto Root = parseYamlMapping(Record.Json, Problems);
  if (!Root)
    return nullptr;
  YamlReader Reader(*Root, std::string(toString(Key.Kind)) + " " + Key.Id,
                    Problems);
  switch (Key.Kind) {
  case ObjectKind::Brand:
    Object.State = readBrand(Reader);
    break;
  case ObjectKind::ClientAccount:
    Object.State = readClientAccount(Reader);
    break;
  case ObjectKind::DatabaseService:
    Object.State = readDatabaseService(Reader);
    break;
  case ObjectKind::Database:
    Object.State = readDatabase(Reader);
    break;
  }
  return std::make_shared<ConfiguredObject>(std::move(Object));
}

ObjectRecord recordOf(const ConfiguredObject &Object) {
  return {.SetBy = Object.SetBy,
          .Json = std::visit([](const auto &State) { return jsonOf(State); },
                             Object.State)};
}

std::vector<SharedObject> objectsOf(const Ticket &Change) {
  std::vector<SharedObject> Objects;
  appendObjects(ObjectKind::Brand, Change.Id, Change.Brands, Objects);
  appendObjects(ObjectKind::ClientAccount, Change.Id, Change.ClientAccounts,
                Objects);
  appendObjects(ObjectKind::DatabaseService, Change.Id, Change.DatabaseServices,
                Objects);
  appendObjects(ObjectKind::Database, Change.Id, Change.Databases, Objects);
  for (const ObjectKey &Key : Change.Removed)
    Objects.push_back(std::make_shared<ConfiguredObject>(
        ConfiguredObject{.Key = Key, .SetBy = Change.Id, .State = {}}));
  return Objects;
}

} // namespace turmericpitch
