#include "failover/GrantorSet.h"

#include "core/Word.h"

#include <algorithm>
#include <boost/json.hpp>

namespace turmericpitch {

namespace json = boost::json;

namespace {

/// Each request for grants goes to all of them.
constexpr std::size_t MaxGrantors = 100;

bool isMajority(const std::vector<Grantor> &Members,
                const std::set<Grantor> &Answered) {
  auto Count =
      std::count_if(Members.begin(), Members.end(), [&](const Grantor &Each) {
        return Answered.contains(Each);
      });
  return static_cast<std::size_t>(Count) * 2 > Members.size();
}

json::array encodeMembers(const std::vector<Grantor> &Members) {
  json::array All;
  for (const Grantor &Each : Members)
    All.push_back(json::object{{"name", Each.Id.Value},
                               {"peers", toString(Each.PeerEndpoint)}});
  return All;
}

std::optional<std::vector<Grantor>> decodeMembers(const json::object &Object,
                                                  std::string_view Key) {
  const json::value *List = Object.if_contains(Key);
  if (!List || !List->is_array() || List->as_array().size() > MaxGrantors)
    return std::nullopt;
  std::vector<Grantor> Members;
  for (const json::value &Each : List->as_array()) {
    const json::object *Fields = Each.if_object();
    const json::value *Name = Fields ? Fields->if_contains("name") : nullptr;
    const json::value *Peers = Fields ? Fields->if_contains("peers") : nullptr;
    if (!Name || !Name->is_string() || !Peers || !Peers->is_string())
      return std::nullopt;
    auto Where = parseEndpoint(std::string_view(Peers->as_string()));
    if (!Where || !isWord(std::string_view(Name->as_string())))
      return std::nullopt;
    Members.push_back(
        {.Id = {std::string(Name->as_string())}, .PeerEndpoint = *Where});
  }
  return Members;
}

} // namespace

std::set<Grantor> GrantorSet::all() const {
  std::set<Grantor> All(this->Current.begin(), this->Current.end());
  All.insert(this->Previous.begin(), this->Previous.end());
  return All;
}

bool GrantorSet::hasQuorum(const std::set<Grantor> &Answered) const {
  return isMajority(this->Current, Answered);
}

bool GrantorSet::hasQuorumOfEach(const std::set<Grantor> &Answered) const {
  auto Reached = [&](const std::vector<Grantor> &Members) {
    return Members.empty() || isMajority(Members, Answered);
  };
  return Reached(this->Current) && Reached(this->Previous);
}

std::string encodeGrantorSet(const GrantorSet &Set) {
  return json::serialize(
      json::object{{"era", Set.VerifiedEra.Value},
                   {"current", encodeMembers(Set.Current)},
                   {"previous", encodeMembers(Set.Previous)}});
}

Result<GrantorSet> decodeGrantorSet(const KeyValueEntry &Entry) {
  boost::system::error_code Failure;
  json::value Value = json::parse(Entry.Value, Failure);
  const json::object *Object = Failure ? nullptr : Value.if_object();
  const json::value *EraField = Object ? Object->if_contains("era") : nullptr;
  auto Era =
      EraField ? EraField->to_number<std::uint64_t>(Failure) : std::uint64_t{0};
  std::optional<std::vector<Grantor>> Current;
  std::optional<std::vector<Grantor>> Previous;
  if (Object) {
    Current = decodeMembers(*Object, "current");
    Previous = decodeMembers(*Object, "previous");
  }
  if (Failure || !EraField || !Current || !Previous)
    return boost::leaf::new_error(
        Error{.Kind = ErrorKind::BadRequest,
              .Message = "malformed grantor set at key " + Entry.Key,
              .Remedy = "find out which process wrote the key"});
  return GrantorSet{.Current = std::move(*Current),
                    .Previous = std::move(*Previous),
                    .VerifiedEra = {Era},
                    .Stored = Entry.Modified};
}

} // namespace turmericpitch
