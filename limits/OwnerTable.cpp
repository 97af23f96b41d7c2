#include "limits/OwnerTable.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

namespace turmericpitch {

namespace json = boost::json;

namespace {

json::array encodeOwners(const std::vector<InstanceId> &Owners) {
  json::array All;
  for (const InstanceId &Each : Owners)
    All.emplace_back(Each.Value);
  return All;
}

/// Nothing if malformed or not sorted; a name that occurs twice would have the
/// shares add up to less than one, but its owner's share be wrong.
std::optional<std::vector<InstanceId>> decodeOwners(const json::object &Object,
                                                    std::string_view Key) {
  const json::value *List = Object.if_contains(Key);
  if (!List || !List->is_array())
    return std::nullopt;
  std::vector<InstanceId> Owners;
  for (const json::value &Each : List->as_array()) {
    if (!Each.is_string())
      return std::nullopt;
    InstanceId Owner{std::string(Each.as_string())};
    if (!Owners.empty() && Owner <= Owners.back())
      return std::nullopt;
    Owners.push_back(std::move(Owner));
  }
  return Owners;
}

std::optional<std::uint64_t> decodeNumber(const json::object &Object,
                                          std::string_view Key) {
  const json::value *Field = Object.if_contains(Key);
  if (!Field)
    return std::nullopt;
  boost::system::error_code Failure;
  auto Number = Field->to_number<std::uint64_t>(Failure);
  if (Failure)
    return std::nullopt;
  return Number;
}

} // namespace

double shareAmong(const std::vector<InstanceId> &Owners, const InstanceId &Id) {
  if (!std::binary_search(Owners.begin(), Owners.end(), Id))
    return 0;
  return 1.0 / static_cast<double>(Owners.size());
}

std::string encodeOwnerTable(const OwnerTable &Table) {
  return json::serialize(
      json::object{{"epoch", Table.Epoch},
                   {"owners", encodeOwners(Table.Owners)},
                   {"previous", encodeOwners(Table.PreviousOwners)},
                   {"era", Table.WrittenIn.Value}});
}

Result<OwnerTable> decodeOwnerTable(const KeyValueEntry &Entry) {
  boost::system::error_code Failure;
  json::value Value = json::parse(Entry.Value, Failure);
  const json::object *Object = Failure ? nullptr : Value.if_object();
  std::optional<std::uint64_t> Epoch;
  std::optional<std::uint64_t> Era;
  std::optional<std::vector<InstanceId>> Owners;
  std::optional<std::vector<InstanceId>> Previous;
  if (Object) {
    Epoch = decodeNumber(*Object, "epoch");
    Era = decodeNumber(*Object, "era");
    Owners = decodeOwners(*Object, "owners");
    Previous = decodeOwners(*Object, "previous");
  }
  // The next epoch must be greater.
  if (!Epoch || *Epoch == 0 || *Epoch == UINT64_MAX || !Era || !Owners ||
      !Previous)
    return boost::leaf::new_error(
        Error{.Kind = ErrorKind::BadRequest,
              .Message = "malformed owner table at key " + Entry.Key,
              .Remedy = "find out which process wrote the key"});
  return OwnerTable{.Epoch = *Epoch,
                    .Owners = std::move(*Owners),
                    .PreviousOwners = std::move(*Previous),
                    .WrittenIn = {*Era}};
}

} // namespace turmericpitch
