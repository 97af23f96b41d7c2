#include "membership/InstanceRoster.h"

#include <algorithm>
#include <boost/json.hpp>

namespace turmericpitch {

namespace json = boost::json;

namespace {

std::optional<std::string> textAt(const json::object &Object,
                                  std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found || !Found->is_string())
    return std::nullopt;
  return std::string(Found->as_string());
}

} // namespace

std::string encodeRosterEntry(const RosterEntry &Entry) {
  return json::serialize(json::object{{"peers", toString(Entry.Peers)},
                                      {"zone", Entry.Zone.Value}});
}

Result<RosterEntry> decodeRosterEntry(const KeyValueEntry &Entry) {
  boost::system::error_code Failure;
  json::value Value = json::parse(Entry.Value, Failure);
  RosterEntry Decoded;
  std::optional<std::string> Peers;
  std::optional<std::string> Zone;
  if (!Failure && Value.is_object()) {
    Peers = textAt(Value.as_object(), "peers");
    Zone = textAt(Value.as_object(), "zone");
  }
  auto Where = parseEndpoint(Peers.value_or(""));
  if (!Where || !Zone || !Entry.Key.starts_with(InstancesPrefix))
    return boost::leaf::new_error(
        Error{.Kind = ErrorKind::BadRequest,
              .Message = "malformed instance entry at " + Entry.Key,
              .Remedy = "look who wrote it"});
  Decoded.Id.Value = Entry.Key.substr(InstancesPrefix.size());
  Decoded.Peers = *Where;
  Decoded.Zone.Value = *Zone;
  Decoded.Stored = Entry.Modified;
  return Decoded;
}

bool InstanceRoster::onListing(std::vector<RosterEntry> Listed,
                               TimePoint AskedAt) {
  std::sort(Listed.begin(), Listed.end());
  this->AskedAt = AskedAt;
  bool Changed = Listed != this->Entries;
  this->Entries = std::move(Listed);
  return Changed;
}

std::size_t InstanceRoster::rank() const {
  std::size_t Place = 0;
  for (const RosterEntry &Entry : this->Entries)
    Place += Entry.Id < this->Self ? 1 : 0;
  return this->listsSelf() ? Place : this->Entries.size();
}

std::size_t InstanceRoster::count() const {
  return std::max<std::size_t>(
      1, this->Entries.size() + (this->listsSelf() ? 0 : 1));
}

bool InstanceRoster::anyOutside(const ZoneId &Zone) const {
  return std::any_of(
      this->Entries.begin(), this->Entries.end(),
      [&](const RosterEntry &Each) { return Each.Zone != Zone; });
}

bool InstanceRoster::listsSelf() const {
  return std::any_of(
      this->Entries.begin(), this->Entries.end(),
      [this](const RosterEntry &Each) { return Each.Id == this->Self; });
}

} // namespace turmericpitch
