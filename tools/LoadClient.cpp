#include "tools/LoadClient.h"

#include "drivers/Json.h"
#include "drivers/MemberCodec.h"

namespace turmericpitch {

namespace {

constexpr unsigned HttpOk = 200;
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// Time to wait for an answer beyond the deadline of the statement.
constexpr Duration ReplyGracePeriod = std::chrono::seconds(2);

std::string encode(const LoadStatement &Statement) {
  boost::json::object Json;
  Json["statement"] = Statement.Text;
  Json["write"] = Statement.Write;
  if (!Statement.IdempotencyKey.empty())
    Json["idempotency_key"] = Statement.IdempotencyKey;
  Json["session_token"] = Statement.Token;
  auto Milliseconds = [](Duration Length) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Length)
        .count();
  };
  if (Statement.MaxAge)
    Json["max_age_ms"] = Milliseconds(*Statement.MaxAge);
  Json["deadline_ms"] = Milliseconds(Statement.Deadline);
  return boost::json::serialize(Json);
}

Result<LoadAnswer> decode(const std::string &Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Reader(Json);
  Reader.allowUnknown();
  LoadAnswer Answer;
  Answer.Rows = Reader.texts("rows");
  Answer.Token = Reader.text("session_token");
  Answer.ServedByReplica = Reader.text("served_by") == "replica";
  BOOST_LEAF_CHECK(Reader.finish());
  return Answer;
}

} // namespace

Awaitable<Outcome<std::shared_ptr<HttpConnection>>>
LoadClient::connectionTo(std::size_t Instance) {
  auto Found = this->Connections.find(Instance);
  if (Found != this->Connections.end() && Found->second->usable())
    co_return Found->second;
  auto Opened = co_await HttpConnection::open(
      this->Exec, this->Fleet.callerEndpoint(Instance), ConnectTimeout);
  if (Opened)
    this->Connections[Instance] = Opened.value();
  co_return Opened;
}

Awaitable<Outcome<LoadAnswer>> LoadClient::send(LoadStatement Statement) {
  auto Connection = co_await this->connectionTo(Statement.Instance);
  if (!Connection)
    co_return Connection.error();
  const FleetOptions &Options = this->Fleet.options();
  HttpRequest Request;
  Request.Target = "/v1/services/" + Options.ServiceName + "/databases/" +
                   this->Fleet.databaseId(Statement.Database).Value +
                   "/statements";
  Request.Host = Options.BrandHost;
  Request.Authorization =
      std::string("Bearer ") + EmbeddedFleet::CallerCredential;
  Request.Body = encode(Statement);
  std::shared_ptr<HttpConnection> HttpLink = Connection.value();
  HttpRequest RetryRequest = Request;
  auto Reply = co_await HttpLink->exchange(
      std::move(Request), Statement.Deadline + ReplyGracePeriod);
  // NotRun means that the instance had closed the idle connection. The request
  // is sent again on a new one.
  if (!Reply && Reply.error().Kind == ErrorKind::NotRun) {
    Connection = co_await this->connectionTo(Statement.Instance);
    if (!Connection)
      co_return Connection.error();
    HttpLink = Connection.value();
    Reply = co_await HttpLink->exchange(std::move(RetryRequest),
                                        Statement.Deadline + ReplyGracePeriod);
  }
  if (!Reply)
    co_return Reply.error();
  const HttpReply &Received = Reply.value();
  if (Received.Status != HttpOk)
    co_return decodeError(Received.Body);
  co_return toOutcome([&] { return decode(Received.Body); });
}

} // namespace turmericpitch
