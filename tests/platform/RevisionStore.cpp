#include "tests/platform/RevisionStore.h"

#include "core/Digest.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace json = boost::json;

namespace {

constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned HistoryCompacted = 410;
constexpr unsigned ConditionFailed = 412;
constexpr unsigned ServiceUnavailable = 503;
/// Time after which a watch without events is completed; shorter than
/// requested, to keep tests fast.
constexpr auto WatchTimeout = std::chrono::milliseconds(50);

/// The value of a query parameter, or "". Doesn't decode percent-encoding.
std::string queryField(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find(Name + "=");
  if (At == std::string::npos)
    return "";
  std::size_t From = At + Name.size() + 1;
  return Target.substr(From, Target.find('&', From) - From);
}

HttpReply jsonReply(const json::value &Body, unsigned Status = 200) {
  HttpReply Reply;
  Reply.Status = Status;
  Reply.Body = json::serialize(Body);
  return Reply;
}

} // namespace

RevisionStore::RevisionStore(Executor Exec, Endpoint Listen,
                             SessionGroup &Group)
    : Exec(Exec), Group(Group),
      Server(Exec, {.Listen = std::move(Listen)},
             [this] {
               return [this](HttpRequest Request) {
                 return this->handle(std::move(Request));
               };
             }),
      PromotionsReleased(this->Exec,
                         boost::asio::steady_timer::time_point::max()) {}

Status RevisionStore::start() { return this->Server.start(); }

void RevisionStore::put(const std::string &Key, const std::string &Value) {
  this->Items[Key] = {.Value = Value, .Revision = ++this->Revision};
}

void RevisionStore::restore() {
  this->Items = this->Copy.Items;
  this->Revision = this->Copy.Revision;
  ++this->Era;
}

Awaitable<HttpReply> RevisionStore::handle(HttpRequest Request) {
  bool Promotes = Request.Target == "/promote";
  this->PromotionRequests += Promotes ? 1 : 0;
  boost::system::error_code Ignored;
  while (Promotes && this->PromotionsHeld)
    co_await this->PromotionsReleased.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
  HttpReply Reply = this->answer(Request);
  Reply.Fields.push_back(
      {.Name = "Store-Era", .Value = std::to_string(this->Era)});
  bool NoEvents = Request.Target.starts_with("/api/kv-watch") &&
                  Reply.Body.find("\"events\":[]") != std::string::npos;
  if (!NoEvents)
    co_return Reply;
  boost::asio::steady_timer Timer(this->Exec, WatchTimeout);
  co_await Timer.async_wait(boost::asio::use_awaitable);
  Reply = this->answer(Request);
  Reply.Fields.push_back(
      {.Name = "Store-Era", .Value = std::to_string(this->Era)});
  co_return Reply;
}

HttpReply RevisionStore::answer(const HttpRequest &Request) {
  const std::string &Target = Request.Target;
  if (this->Unavailable)
    return jsonReply(json::object{}, ServiceUnavailable);
  if (Target.starts_with("/api/kv-range"))
    return this->range(queryField(Target, "prefix"));
  if (Target.starts_with("/api/kv-key"))
    ++this->KeyReads;
  if (Target.starts_with("/api/kv-key"))
    return this->key(queryField(Target, "key"));
  if (Target.starts_with("/api/kv-watch"))
    return this->changes(queryField(Target, "prefix"),
                         std::stoull(queryField(Target, "after")));
  if (Target == "/api/kv-txn")
    return this->commit(Request.Body);
  if (Target == "/api/kv-lease")
    return jsonReply(
        json::object{{"lease", ++this->Leases}, {"ttl_ms", 15000}});
  if (Target.starts_with("/api/kv-keep/") ||
      Target.starts_with("/api/kv-lease-end/"))
    return jsonReply(json::object{{"ttl_ms", 15000}});
  if (Target == "/promote") {
    json::value Body = json::parse(Request.Body);
    ++this->Promotions;
    bool Accepted = this->Group.promote(std::string(Body.at("id").as_string()));
    return jsonReply(json::object{}, Accepted ? 200 : Conflict);
  }
  return jsonReply(json::object{}, NotFound);
}

json::object RevisionStore::encodeItem(const std::string &Key,
                                       const Item &Each) const {
  return {{"key", Key},
          {"value", encodeBase64(Each.Value)},
          {"revision", Each.Revision},
          {"created", Each.Revision},
          {"lease", Each.Lease}};
}

HttpReply RevisionStore::range(const std::string &Prefix) const {
  json::array All;
  for (const auto &[Key, Each] : this->Items)
    if (Key.starts_with(Prefix))
      All.push_back(this->encodeItem(Key, Each));
  return jsonReply(json::object{{"items", std::move(All)},
                                {"more_pages", false},
                                {"current_rev", this->Revision}});
}

HttpReply RevisionStore::key(const std::string &Key) const {
  auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return jsonReply(json::object{}, NotFound);
  json::object Body = this->encodeItem(Key, Found->second);
  Body["current_rev"] = this->Revision;
  return jsonReply(Body);
}

HttpReply RevisionStore::changes(const std::string &Prefix,
                                 std::uint64_t After) const {
  if (After < this->HistoryFrom || After > this->Revision)
    return jsonReply(json::object{}, HistoryCompacted);
  json::array Events;
  for (const auto &[Key, Each] : this->Items)
    if (Key.starts_with(Prefix) && Each.Revision > After)
      Events.push_back(this->encodeItem(Key, Each));
  return jsonReply(json::object{{"events", std::move(Events)},
                                {"current_rev", this->Revision}});
}

HttpReply RevisionStore::commit(const std::string &Body) {
  json::value Request = json::parse(Body);
  for (const json::value &Each : Request.at("if_rev").as_array()) {
    auto Found = this->Items.find(std::string(Each.at("key").as_string()));
    std::uint64_t Current =
        Found == this->Items.end() ? 0 : Found->second.Revision;
    if (Current != Each.at("revision").to_number<std::uint64_t>())
      return jsonReply(json::object{{"items", json::array{}}}, ConditionFailed);
  }
  ++this->Revision;
  for (const json::value &Each : Request.at("writes").as_array()) {
    this->Items[std::string(Each.at("key").as_string())] = {
        .Value = decodeBase64(std::string(Each.at("value").as_string())),
        .Revision = this->Revision,
        .Lease = Each.at("lease").to_number<std::uint64_t>()};
    if (this->WriteHandler)
      this->WriteHandler(
          this->Items[std::string(Each.at("key").as_string())].Value);
  }
  for (const json::value &Each : Request.at("remove").as_array())
    this->Items.erase(std::string(Each.as_string()));
  return jsonReply(json::object{{"revision", this->Revision}});
}

} // namespace turmericpitch
