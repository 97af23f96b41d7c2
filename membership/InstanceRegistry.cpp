#include "membership/InstanceRegistry.h"

#include "core/Word.h"

#include <algorithm>
#include <boost/json.hpp>
#include <xxhash.h>

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
  if (Entry.Key.starts_with(InstancesPrefix))
    Decoded.Id.Value = Entry.Key.substr(InstancesPrefix.size());
  if (!Where || !isWord(Zone.value_or("")) || !isWord(Decoded.Id.Value))
    return boost::leaf::new_error(
        Error{.Kind = ErrorKind::BadRequest,
              .Message = "malformed instance entry",
              .Remedy = "find out which process wrote the key"});
  Decoded.PeerEndpoint = *Where;
  Decoded.Zone.Value = *Zone;
  Decoded.Stored = Entry.Modified;
  return Decoded;
}

bool InstanceRegistry::onListing(std::vector<RegisteredInstance> NewInstances,
                                 TimePoint ReadSentAt) {
  std::sort(NewInstances.begin(), NewInstances.end());
  bool Changed = NewInstances != this->Instances;
  this->Instances = std::move(NewInstances);
  if (Changed) {
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
