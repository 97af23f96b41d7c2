#include "membership/InstanceRegistry.h"

#include <algorithm>
#include <boost/json.hpp>
#include <xxhash.h>

namespace turmericpitch {

namespace json = boost::json;

namespace {

/// Times of reading that are kept; at a few a second they reach back some
/// seconds.
constexpr std::size_t MostReadTimes = 32;

std::optional<std::string> textAt(const json::object &Object,
                                  std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found || !Found->is_string())
    return std::nullopt;
  return std::string(Found->as_string());
}

} // namespace

std::string encodeRegisteredInstance(const RegisteredInstance &Entry) {
  return json::serialize(json::object{{"peers", toString(Entry.Peers)},
                                      {"zone", Entry.Zone.Value}});
}

Result<RegisteredInstance>
decodeRegisteredInstance(const KeyValueEntry &Entry) {
  boost::system::error_code Failure;
  json::value Value = json::parse(Entry.Value, Failure);
  RegisteredInstance Decoded;
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

void InstanceRegistry::noteArrivals(TimePoint AskedAt) {
  std::map<InstanceId, Arrival> Present;
  for (const RegisteredInstance &Each : this->Entries) {
    auto Known = this->Arrivals.find(Each.Id);
    bool Same =
        Known != this->Arrivals.end() && Known->second.Stored == Each.Stored;
    // What was there at first may be of any age.
    TimePoint SeenAt = this->Listed ? AskedAt : TimePoint::min();
    Present[Each.Id] =
        Same ? Known->second : Arrival{.Stored = Each.Stored, .SeenAt = SeenAt};
  }
  this->Arrivals = std::move(Present);
  this->Listed = true;
}

bool InstanceRegistry::isNew(const InstanceId &Id, Duration Limit,
                             TimePoint Now) const {
  auto Known = this->Arrivals.find(Id);
  return Known != this->Arrivals.end() && Known->second.SeenAt > Now - Limit;
}

bool InstanceRegistry::onListing(std::vector<RegisteredInstance> Listed,
                                 TimePoint AskedAt) {
  std::sort(Listed.begin(), Listed.end());
  bool Changed = Listed != this->Entries;
  this->Entries = std::move(Listed);
  this->noteArrivals(AskedAt);
  if (Changed) {
    this->ReadTimes.clear();
    this->AskedAt.reset();
    std::string Text;
    for (const RegisteredInstance &Each : this->Entries)
      Text += Each.Id.Value + " " + std::to_string(Each.Stored.Value) + "\n";
    this->Digest = XXH64(Text.data(), Text.size(), 0);
  }
  this->onConfirmed(AskedAt);
  return Changed;
}

void InstanceRegistry::onConfirmed(TimePoint AskedAt) {
  if (this->AskedAt && AskedAt <= *this->AskedAt)
    return;
  this->AskedAt = AskedAt;
  this->ReadTimes.push_back(AskedAt);
  if (this->ReadTimes.size() > MostReadTimes)
    this->ReadTimes.pop_front();
}

std::optional<TimePoint>
InstanceRegistry::askedAtBefore(TimePoint Latest) const {
  std::optional<TimePoint> Found;
  for (TimePoint Each : this->ReadTimes)
    if (Each <= Latest)
      Found = Each;
  return Found;
}

std::size_t InstanceRegistry::count() const {
  return std::max<std::size_t>(1, this->Entries.size() +
                                      (this->listsSelf() ? 0 : 1));
}

bool InstanceRegistry::anyOutside(const ZoneId &Zone) const {
  return std::any_of(
      this->Entries.begin(), this->Entries.end(),
      [&](const RegisteredInstance &Each) { return Each.Zone != Zone; });
}

const RegisteredInstance *InstanceRegistry::find(const InstanceId &Id) const {
  auto Found = std::find_if(
      this->Entries.begin(), this->Entries.end(),
      [&](const RegisteredInstance &Each) { return Each.Id == Id; });
  return Found == this->Entries.end() ? nullptr : &*Found;
}

bool InstanceRegistry::listsSelf() const {
  return this->find(this->Self) != nullptr;
}

} // namespace turmericpitch
