#include "configuration/StoredConfiguration.h"

#include <boost/json.hpp>
#include <charconv>

namespace turmericpitch {

namespace {

constexpr std::size_t NumberDigits = 20;

std::string padded(std::uint64_t Value) {
  std::string Digits = std::to_string(Value);
  return std::string(NumberDigits - Digits.size(), '0') + Digits;
}

Error unreadableError(const std::string &Key) {
  return {.Kind = ErrorKind::Unavailable,
          .Message = "unreadable value in the platform under key " + Key,
          .Remedy = "restore the key from the ticket that last set it"};
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Problem] = std::from_chars(Text.data(), End, Value);
  if (Problem != std::errc{} || Stop != End)
    return std::nullopt;
  return Value;
}

std::optional<ObjectKey> parsePath(std::string_view Path) {
  std::size_t Slash = Path.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  auto Kind = objectKindFromString(Path.substr(0, Slash));
  if (!Kind)
    return std::nullopt;
  return ObjectKey{.Kind = *Kind, .Id = std::string(Path.substr(Slash + 1))};
}

/// Adds a record; of two records of one object, keeps that of the newer ticket.
void merge(const ObjectKey &Key, ObjectRecord Record,
           std::map<ObjectKey, ObjectRecord> &Records) {
  auto [At, New] = Records.try_emplace(Key, Record);
  if (!New && At->second.SetBy < Record.SetBy)
    At->second = std::move(Record);
}

TicketHead headFrom(const boost::json::object &Json) {
  TicketHead Head;
  Head.Newest = TicketNumber{Json.at("ticket").to_number<std::uint64_t>()};
  Head.Digest = std::string(Json.at("digest").as_string());
  Head.AcceptedCount = Json.at("accepted").to_number<std::uint64_t>();
  for (const boost::json::value &Each : Json.at("large").as_array()) {
    const boost::json::object &Large = Each.as_object();
    Head.LargeTickets.push_back(
        {.Number = TicketNumber{Large.at("ticket").to_number<std::uint64_t>()},
         .LastMovedPath = std::string(Large.at("moved_up_to").as_string())});
  }
  return Head;
}

Result<TicketHead> readHead(const KeyValueEntry &Entry) {
  try {
    return headFrom(boost::json::parse(Entry.Value).as_object());
  } catch (const std::exception &) {
    return boost::leaf::new_error(unreadableError(Entry.Key));
  }
}

Result<void> readObject(const KeyValueEntry &Entry,
                        std::map<ObjectKey, ObjectRecord> &Records) {
  std::string_view Value = Entry.Value;
  auto Key = parsePath(std::string_view(Entry.Key).substr(ObjectPrefix.size()));
  std::size_t LineEnd = Value.find('\n');
  auto SetBy = parseNumber(Value.substr(0, LineEnd));
  if (!Key || LineEnd == std::string_view::npos || !SetBy)
    return boost::leaf::new_error(unreadableError(Entry.Key));
  merge(*Key,
        {.SetBy = TicketNumber{*SetBy},
         .Json = std::string(Value.substr(LineEnd + 1))},
        Records);
  return {};
}

Result<void> readLargeTicket(const KeyValueEntry &Entry,
                             std::map<ObjectKey, ObjectRecord> &Records) {
  auto Number =
      parseNumber(std::string_view(Entry.Key).substr(LargeTicketPrefix.size()));
  std::string_view Rest = Entry.Value;
  while (Number && !Rest.empty()) {
    std::size_t PathEnd = Rest.find('\n');
    std::size_t JsonEnd = Rest.find('\n', PathEnd + 1);
    auto Key = parsePath(Rest.substr(0, PathEnd));
    if (!Key || PathEnd == std::string_view::npos ||
        JsonEnd == std::string_view::npos)
      return boost::leaf::new_error(unreadableError(Entry.Key));
    std::string_view Json = Rest.substr(PathEnd + 1, JsonEnd - PathEnd - 1);
    merge(*Key, {.SetBy = TicketNumber{*Number}, .Json = std::string(Json)},
          Records);
    Rest.remove_prefix(JsonEnd + 1);
  }
  if (!Number)
    return boost::leaf::new_error(unreadableError(Entry.Key));
  return {};
}

Result<void> readTicketDigest(const KeyValueEntry &Entry,
                              std::map<TicketNumber, std::string> &Digests) {
  std::size_t LineEnd = Entry.Value.find('\n');
  auto Number = parseNumber(std::string_view(Entry.Value).substr(0, LineEnd));
  if (!Number || LineEnd == std::string::npos)
    return boost::leaf::new_error(unreadableError(Entry.Key));
  Digests[TicketNumber{*Number}] = Entry.Value.substr(LineEnd + 1);
  return {};
}

} // namespace

std::string objectPath(const ObjectKey &Key) {
  return std::string(toString(Key.Kind)) + "/" + Key.Id;
}

std::string largeTicketKey(TicketNumber Number) {
  return std::string(LargeTicketPrefix) + padded(Number.Value);
}

PutOperation putObject(const ObjectKey &Key, const ObjectRecord &Record) {
  return {.Key = std::string(ObjectPrefix) + objectPath(Key),
          .Value = std::to_string(Record.SetBy.Value) + "\n" + Record.Json,
          .Lease = {}};
}

PutOperation putHead(const TicketHead &Head) {
  boost::json::array Large;
  for (const LargeTicket &Each : Head.LargeTickets) {
    boost::json::object Json;
    Json["ticket"] = Each.Number.Value;
    Json["moved_up_to"] = Each.LastMovedPath;
    Large.push_back(std::move(Json));
  }
  boost::json::object Json;
  Json["ticket"] = Head.Newest.Value;
  Json["digest"] = Head.Digest;
  Json["accepted"] = Head.AcceptedCount;
  Json["large"] = std::move(Large);
  return {.Key = std::string(HeadKey),
          .Value = boost::json::serialize(Json),
          .Lease = {}};
}

PutOperation putTicketDigest(const TicketHead &Head) {
  return {.Key = std::string(TicketPrefix) +
                 padded(Head.AcceptedCount % RetainedTickets),
          .Value = std::to_string(Head.Newest.Value) + "\n" + Head.Digest,
          .Lease = {}};
}

PutOperation putLargeTicket(TicketNumber Number,
                            const std::vector<SharedObject> &Objects) {
  std::string Value;
  for (const SharedObject &Object : Objects)
    Value += objectPath(Object->Key) + "\n" + recordOf(*Object).Json + "\n";
  return {
      .Key = largeTicketKey(Number), .Value = std::move(Value), .Lease = {}};
}

Result<StoredConfiguration>
readStoredConfiguration(const KeyValueAnswer &Answer) {
  StoredConfiguration Stored;
  Stored.StoreRevision = Answer.StoreRevision;
  ConfigurationChange &Change = Stored.Change;
  for (const KeyValueEntry &Entry : Answer.Entries) {
    if (Entry.Key == HeadKey) {
      BOOST_LEAF_ASSIGN(Change.Head, readHead(Entry));
      Change.HeadRevision = Entry.Modified;
    } else if (Entry.Key.starts_with(ObjectPrefix)) {
      BOOST_LEAF_CHECK(readObject(Entry, Change.Records));
    } else if (Entry.Key.starts_with(LargeTicketPrefix)) {
      BOOST_LEAF_CHECK(readLargeTicket(Entry, Change.Records));
    } else if (Entry.Key.starts_with(TicketPrefix)) {
      BOOST_LEAF_CHECK(readTicketDigest(Entry, Stored.TicketDigests));
    }
  }
  return Stored;
}

} // namespace turmericpitch
