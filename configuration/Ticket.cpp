#include "configuration/Ticket.h"

#include "core/Digest.h"
#include "core/NameTable.h"

#include <set>

namespace turmericpitch {

namespace {

constexpr NameTable<ObjectKind, 4> KindNames{{
    {ObjectKind::Brand, "brand"},
    {ObjectKind::ClientAccount, "client_account"},
    {ObjectKind::DatabaseService, "database_service"},
    {ObjectKind::Database, "database"},
}};

ObjectKey readRemoved(YamlReader &Reader) {
  auto Kind = objectKindFromString(Reader.text("kind"));
  if (!Kind)
    Reader.problem("kind", "unknown kind",
                   "use brand, client_account, database_service or database");
  ObjectKey Key{.Kind = Kind.value_or(ObjectKind::Brand),
                .Id = Reader.name("name")};
  Reader.finish();
  return Key;
}

/// Keys of all objects that the ticket sets or removes, in the order of the
/// ticket.
std::vector<ObjectKey> objectKeysOf(const Ticket &Subject) {
  std::vector<ObjectKey> Keys;
  for (const Brand &Object : Subject.Brands)
    Keys.push_back({ObjectKind::Brand, Object.Id.Value});
  for (const ClientAccount &Object : Subject.ClientAccounts)
    Keys.push_back({ObjectKind::ClientAccount, Object.Id.Value});
  for (const DatabaseService &Object : Subject.DatabaseServices)
    Keys.push_back({ObjectKind::DatabaseService, Object.Id.Value});
  for (const Database &Object : Subject.Databases)
    Keys.push_back({ObjectKind::Database, Object.Id.Value});
  Keys.insert(Keys.end(), Subject.Removed.begin(), Subject.Removed.end());
  return Keys;
}

void checkKeysUnique(YamlReader &Reader, const Ticket &Subject) {
  std::set<ObjectKey> Keys;
  for (const ObjectKey &Key : objectKeysOf(Subject))
    if (!Keys.insert(Key).second)
      Reader.problem(std::string(toString(Key.Kind)) + " " + Key.Id,
                     "appears more than once in the ticket",
                     "give its complete new state once");
  if (Keys.empty())
    Reader.problem("ticket", "contains no objects",
                   "give the new state of at least one object");
}

template <typename Object>
void appendAll(std::string &Text, const std::vector<Object> &Objects) {
  for (const Object &Entry : Objects)
    Text += toJson(Entry) + "\n";
}

} // namespace

std::string_view toString(ObjectKind Kind) { return findName(KindNames, Kind); }

std::optional<ObjectKind> objectKindFromString(std::string_view Text) {
  return findValue(KindNames, Text);
}

Result<Ticket> parseTicket(std::string_view Text, const std::string &File) {
  YamlProblems Problems(File);
  if (Text.size() > MaximumTicketBytes) {
    Problems.add({}, "ticket", "larger than 512 KiB",
                 "split it into several tickets");
    return boost::leaf::new_error(Problems.asError());
  }
  auto Root = parseYamlMapping(Text, Problems);
  if (!Root)
    return boost::leaf::new_error(Problems.asError());
  YamlReader Reader(*Root, "", Problems);
  Ticket Parsed;
  Parsed.Id = TicketNumber{static_cast<std::uint64_t>(
      Reader.number("ticket", NumberBounds{.Min = 1}))};
  for (YamlReader &Entry : Reader.mappings("brands"))
    Parsed.Brands.push_back(readBrand(Entry));
  for (YamlReader &Entry : Reader.mappings("client_accounts"))
    Parsed.ClientAccounts.push_back(readClientAccount(Entry));
  for (YamlReader &Entry : Reader.mappings("database_services"))
    Parsed.DatabaseServices.push_back(readDatabaseService(Entry));
  for (YamlReader &Entry : Reader.mappings("databases"))
    Parsed.Databases.push_back(readDatabase(Entry));
  for (YamlReader &Entry : Reader.mappings("removed"))
    Parsed.Removed.push_back(readRemoved(Entry));
  Reader.finish();
  checkKeysUnique(Reader, Parsed);
  if (!Problems.none())
    return boost::leaf::new_error(Problems.asError());
  return Parsed;
}

std::string digestOf(const Ticket &Subject) {
  std::string Text = std::to_string(Subject.Id.Value) + "\n";
  appendAll(Text, Subject.Brands);
  appendAll(Text, Subject.ClientAccounts);
  appendAll(Text, Subject.DatabaseServices);
  appendAll(Text, Subject.Databases);
  for (const ObjectKey &Key : Subject.Removed)
    Text += "removed " + std::string(toString(Key.Kind)) + " " + Key.Id + "\n";
  return sha256Hex(Text);
}

} // namespace turmericpitch
