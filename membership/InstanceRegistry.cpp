#include "membership/InstanceRegistry.h"

#include <algorithm>
#include <boost/json.hpp>
#include <xxhash.h>

namespace turmericpitch {

namespace json = boost::json;

namespace {

/// Read times kept. With a few reads per second they cover several seconds.
constexpr std::size_t MaxReadTimes = 32;

std::optional<std::string> textAt(const json::object &Object,
                                  std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found || !Found->is_string())
    return std::nullopt;
  return std::string(Found->as_string());
}

} // namespace

std::string encodeRegisteredInstance(const RegisteredInstance &Instance) {
  return json::serialize(
      json::object{{"peers", toString(Instance.PeerEndpoint)},
                   {"zone", Instance.Zone.Value}});
}

Result<RegisteredInstance>
decodeRegisteredInstance(const KeyValueEntry &Entry) {
  boost::system::error_code Failure;
  json::value Value = json::parse(Entry.Value, Failure);
  RegisteredInstance Decoded;
  std::optional<std::string> PeerEndpoint;
  std::optional<std::string> Zone;
  if (!Failure && Value.is_object()) {
    PeerEndpoint = textAt(Value.as_object(), "peers");
    Zone = textAt(Value.as_object(), "zone");
  }
  auto Where = parseEndpoint(PeerEndpoint.value_or(""));
  if (!Where || !Zone || !Entry.Key.starts_with(InstancesPrefix))
    return boost::leaf::new_error(
        Error{.Kind = ErrorKind::BadRequest,
              .Message = "malformed instance entry at " + Entry.Key,
              .Remedy = "find out which process wrote the key"});
  Decoded.Id.Value = Entry.Key.substr(InstancesPrefix.size());
  Decoded.PeerEndpoint = *Where;
  Decoded.Zone.Value = *Zone;
  Decoded.Stored = Entry.Modified;
  return Decoded;
}

void InstanceRegistry::updateRegistrations(TimePoint ReadSentAt) {
  std::map<InstanceId, Registration> Present;
  for (const RegisteredInstance &Each : this->Instances) {
    auto Known = this->Registrations.find(Each.Id);
    bool Same = Known != this->Registrations.end() &&
                Known->second.Stored == Each.Stored;
    // Instances in the first listing may be of any age.
    TimePoint FirstSeenAt = this->HasListing ? ReadSentAt : TimePoint::min();
    Present[Each.Id] =
        Same ? Known->second
             : Registration{.Stored = Each.Stored, .FirstSeenAt = FirstSeenAt};
  }
  this->Registrations = std::move(Present);
  this->HasListing = true;
}

bool InstanceRegistry::isNew(const InstanceId &Id, Duration MaxAge,
                             TimePoint Now) const {
  auto Known = this->Registrations.find(Id);
  return Known != this->Registrations.end() &&
         Known->second.FirstSeenAt > Now - MaxAge;
}

bool InstanceRegistry::onListing(std::vector<RegisteredInstance> NewInstances,
                                 TimePoint ReadSentAt) {
  std::sort(NewInstances.begin(), NewInstances.end());
  bool Changed = NewInstances != this->Instances;
  this->Instances = std::move(NewInstances);
  this->updateRegistrations(ReadSentAt);
  if (Changed) {
    this->ReadTimes.clear();
    this->ReadSentAt.reset();
    std::string Text;
    for (const RegisteredInstance &Each : this->Instances)
      Text += Each.Id.Value + " " + std::to_string(Each.Stored.Value) + "\n";
    this->Digest = XXH64(Text.data(), Text.size(), 0);
  }
  this->onConfirmed(ReadSentAt);
  return Changed;
}

void InstanceRegistry::onConfirmed(TimePoint ReadSentAt) {
  if (this->ReadSentAt && ReadSentAt <= *this->ReadSentAt)
    return;
  this->ReadSentAt = ReadSentAt;
  this->ReadTimes.push_back(ReadSentAt);
  if (this->ReadTimes.size() > MaxReadTimes)
    this->ReadTimes.pop_front();
}

std::optional<TimePoint>
InstanceRegistry::readSentBefore(TimePoint Latest) const {
  std::optional<TimePoint> Found;
  for (TimePoint Each : this->ReadTimes)
    if (Each <= Latest)
      Found = Each;
  return Found;
}

std::size_t InstanceRegistry::count() const {
  return std::max<std::size_t>(1, this->Instances.size() +
                                      (this->listsSelf() ? 0 : 1));
}

bool InstanceRegistry::hasOtherZone(const ZoneId &Zone) const {
  return std::any_of(
      this->Instances.begin(), this->Instances.end(),
      [&](const RegisteredInstance &Each) { return Each.Zone != Zone; });
}

const RegisteredInstance *InstanceRegistry::find(const InstanceId &Id) const {
  auto Found = std::find_if(
      this->Instances.begin(), this->Instances.end(),
      [&](const RegisteredInstance &Each) { return Each.Id == Id; });
  return Found == this->Instances.end() ? nullptr : &*Found;
}

bool InstanceRegistry::listsSelf() const {
  return this->find(this->Self) != nullptr;
}

} // namespace turmericpitch
