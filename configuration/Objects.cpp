#include "configuration/Objects.h"

#include <algorithm>
#include <boost/json.hpp>

namespace turmericpitch {

namespace {

constexpr std::size_t DigestLength = 64;
constexpr NumberBounds WeightBounds{.Min = 1, .Max = 1000};
constexpr NumberBounds RateBounds{.Min = 1, .Max = 1'000'000};
constexpr NumberBounds BurstBounds{.Min = 0, .Max = 1'000'000};
constexpr NumberBounds ConnectionBounds{.Min = 1, .Max = 10'000};
constexpr NumberBounds SlotBounds{.Min = 1, .Max = 1000};

template <typename Id>
std::vector<Id> idsFrom(const std::vector<std::string> &Names) {
  std::vector<Id> Ids;
  for (const std::string &Text : Names)
    Ids.push_back(Id{Text});
  return Ids;
}

template <typename Id> boost::json::array arrayOf(const std::vector<Id> &Ids) {
  boost::json::array List;
  for (const Id &Entry : Ids)
    List.emplace_back(Entry.Value);
  return List;
}

std::optional<OperationLimit> readLimit(YamlReader &Account) {
  if (!Account.has("limit"))
    return std::nullopt;
  YamlReader Reader = Account.mapping("limit");
  OperationLimit Limit{
      .PerSecond = static_cast<double>(Reader.number("per_second", RateBounds)),
      .Burst = static_cast<double>(Reader.number("burst", BurstBounds, 0)),
  };
  Reader.finish();
  return Limit;
}

DatabaseMember readMember(YamlReader &Reader) {
  DatabaseMember Member{
      .Id = UpstreamId{Reader.name("upstream")},
      .Where = Reader.endpoint("address"),
      .Zone = ZoneId{Reader.name("availability_zone")},
      .Leaving = Reader.flag("leaving", false),
  };
  Reader.finish();
  return Member;
}

void checkMembersUnique(YamlReader &Reader, const Database &Subject) {
  for (std::size_t First = 0; First < Subject.Members.size(); ++First)
    for (std::size_t Second = 0; Second < First; ++Second)
      if (Subject.Members[First].Id == Subject.Members[Second].Id ||
          Subject.Members[First].Where == Subject.Members[Second].Where)
        Reader.problem(
            "members", "two members share an upstream name or address",
            "use a different upstream name and address for each member");
}

} // namespace

Brand readBrand(YamlReader &Reader) {
  Brand Object{.Id = BrandId{Reader.name("name")}, .Host = Reader.name("host")};
  Reader.finish();
  return Object;
}

ClientAccount readClientAccount(YamlReader &Reader) {
  ClientAccount Object{
      .Id = ClientAccountId{Reader.name("name")},
      .Owner = BrandId{Reader.name("brand")},
      .CredentialDigest = Reader.text("credential_digest"),
      .Services = idsFrom<ServiceId>(Reader.texts("services")),
      .Weight =
          static_cast<std::uint32_t>(Reader.number("weight", WeightBounds, 1)),
      .Limit = readLimit(Reader),
  };
  if (Object.CredentialDigest.size() != DigestLength)
    Reader.problem("credential_digest", "not a SHA-256 digest",
                   "give the SHA-256 of the credential as 64 hexadecimal "
                   "digits");
  Reader.finish();
  return Object;
}

DatabaseService readDatabaseService(YamlReader &Reader) {
  DatabaseService Object{
      .Id = ServiceId{Reader.name("name")},
      .Owner = BrandId{Reader.name("brand")},
      .Databases = idsFrom<DatabaseId>(Reader.texts("databases")),
  };
  if (Object.Databases.empty())
    Reader.problem("databases", "empty", "name at least one database");
  Reader.finish();
  return Object;
}

Database readDatabase(YamlReader &Reader) {
  Database Object{
      .Id = DatabaseId{Reader.name("name")},
      .ConnectionLimit = static_cast<std::uint32_t>(
          Reader.number("connection_limit", ConnectionBounds)),
      .Slots = static_cast<std::uint32_t>(Reader.number("slots", SlotBounds)),
      .PromotionAllowed = Reader.flag("promotion_allowed", true),
      .Members = {},
  };
  for (YamlReader &Member : Reader.mappings("members"))
    Object.Members.push_back(readMember(Member));
  if (Object.Members.empty())
    Reader.problem("members", "empty", "name at least one member");
  checkMembersUnique(Reader, Object);
  Reader.finish();
  return Object;
}

std::string toJson(const Brand &Object) {
  boost::json::object Json;
  Json["name"] = Object.Id.Value;
  Json["host"] = Object.Host;
  return boost::json::serialize(Json);
}

std::string toJson(const ClientAccount &Object) {
  boost::json::object Json;
  Json["name"] = Object.Id.Value;
  Json["brand"] = Object.Owner.Value;
  Json["credential_digest"] = Object.CredentialDigest;
  Json["services"] = arrayOf(Object.Services);
  Json["weight"] = Object.Weight;
  if (Object.Limit)
    Json["limit"] = boost::json::object{
        {"per_second", static_cast<std::int64_t>(Object.Limit->PerSecond)},
        {"burst", static_cast<std::int64_t>(Object.Limit->Burst)}};
  return boost::json::serialize(Json);
}

std::string toJson(const DatabaseService &Object) {
  boost::json::object Json;
  Json["name"] = Object.Id.Value;
  Json["brand"] = Object.Owner.Value;
  Json["databases"] = arrayOf(Object.Databases);
  return boost::json::serialize(Json);
}

std::string toJson(const Database &Object) {
  boost::json::array Members;
  for (const DatabaseMember &Member : Object.Members) {
    boost::json::object Entry;
    Entry["upstream"] = Member.Id.Value;
    Entry["address"] = toString(Member.Where);
    Entry["availability_zone"] = Member.Zone.Value;
    Entry["leaving"] = Member.Leaving;
    Members.push_back(std::move(Entry));
  }
  boost::json::object Json;
  Json["name"] = Object.Id.Value;
  Json["connection_limit"] = Object.ConnectionLimit;
  Json["slots"] = Object.Slots;
  Json["promotion_allowed"] = Object.PromotionAllowed;
  Json["members"] = std::move(Members);
  return boost::json::serialize(Json);
}

} // namespace turmericpitch
