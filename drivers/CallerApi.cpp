#include "drivers/CallerApi.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"
#include "drivers/MemberCodec.h"

#include <array>

namespace turmericpitch {

namespace {

constexpr std::string_view Bearer = "Bearer ";
constexpr unsigned NotFound = 404;
constexpr Duration DefaultPatience = std::chrono::seconds(5);

/// The service and database of a statement's target.
struct StatementTarget {
  ServiceId Service;
  DatabaseId Database;
};

std::vector<std::string> pathParts(std::string_view Target) {
  std::vector<std::string> Parts;
  std::size_t Begin = 1;
  while (Begin <= Target.size()) {
    std::size_t End = std::min(Target.find('/', Begin), Target.size());
    Parts.emplace_back(Target.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Parts;
}

std::optional<StatementTarget> parseTarget(std::string_view Target) {
  std::vector<std::string> Parts = pathParts(Target);
  constexpr std::size_t Expected = 6;
  bool Fits = Parts.size() == Expected && Parts[0] == "v1" &&
              Parts[1] == "services" && Parts[3] == "databases" &&
              Parts[5] == "statements";
  if (!Fits)
    return std::nullopt;
  return StatementTarget{.Service = ServiceId{Parts[2]},
                         .Database = DatabaseId{Parts[4]}};
}

std::string hostWithoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

std::string credentialOf(const HttpRequest &Request) {
  if (!Request.Authorization.starts_with(Bearer))
    return {};
  return Request.Authorization.substr(Bearer.size());
}

Result<StatementRequest> readStatement(const HttpRequest &Request,
                                       const StatementTarget &Target,
                                       RequestId Id) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Request.Body));
  JsonReader Reader(Json);
  StatementRequest Read;
  Read.Id = std::move(Id);
  Read.Host = hostWithoutPort(Request.Host);
  Read.Credential = credentialOf(Request);
  Read.Service = Target.Service;
  Read.Target = Target.Database;
  Read.Statement = Reader.text("statement");
  Read.Write = Reader.flag("write", false);
  Read.Repeatable = Reader.flag("repeatable", false);
  Read.MaximumAge = Reader.milliseconds("max_age_ms");
  std::string Key = Reader.text("idempotency_key", "");
  if (!Key.empty())
    Read.Key = IdempotencyKey{Key};
  Read.TokenText = Reader.text("session_token", "");
  Read.Patience = Reader.milliseconds("deadline_ms").value_or(DefaultPatience);
  BOOST_LEAF_CHECK(Reader.finish());
  return Read;
}

void countStatement(bool Write, const Outcome<StatementAnswer> &Answer,
                    Duration Took) {
  Metrics &Figures = processMetrics();
  Figures.count("statements_total",
                Answer ? "answered" : toString(Answer.error().Kind));
  if (!Answer)
    return;
  Figures.observe("statement_seconds", Write ? "write" : "read", Took);
  if (!Write)
    Figures.count("reads_total", toString(Answer.value().ServedBy));
}

std::string encodeAnswer(const StatementAnswer &Answer,
                         const std::string &Token) {
  boost::json::object Json;
  Json["request_id"] = Answer.Id.Value;
  boost::json::array Rows;
  for (const std::string &Row : Answer.Rows)
    Rows.emplace_back(Row);
  Json["rows"] = std::move(Rows);
  Json["session_token"] = Token;
  Json["served_by"] = toString(Answer.ServedBy);
  Json["repeated"] = Answer.Repeated;
  return boost::json::serialize(Json);
}

} // namespace

CallerApi::CallerApi(CallerApiOptions Options,
                     std::shared_ptr<ConfigurationController> Configuration,
                     std::shared_ptr<UpstreamController> Upstreams,
                     std::shared_ptr<StatementRunner> Runner,
                     StatementChain Chain,
                     std::shared_ptr<const SessionTokenCodec> Codec)
    : Options(std::move(Options)), Configuration(std::move(Configuration)),
      Upstreams(std::move(Upstreams)), Runner(std::move(Runner)),
      Chain(std::move(Chain)), Codec(std::move(Codec)) {}

HttpReply CallerApi::readiness() const {
  bool Ready = !this->Draining && this->Configuration->current();
  HttpReply Reply;
  Reply.Status = Ready ? 200 : httpStatusOf(ErrorKind::Unavailable);
  Reply.Body = Ready ? R"({"ready":true})" : R"({"ready":false})";
  return Reply;
}

Awaitable<HttpReply> CallerApi::handle(HttpRequest Request) {
  if (Request.Target == "/ready")
    co_return this->readiness();
  auto Target = parseTarget(Request.Target);
  if (!Target || Request.Method != "POST") {
    HttpReply Reply = replyWith(
        {.Kind = ErrorKind::BadRequest,
         .Message = "unknown path or method",
         .Remedy = "POST to /v1/services/{service}/databases/{database}/"
                   "statements"});
    Reply.Status = NotFound;
    co_return Reply;
  }
  RequestId Id{this->Options.Self.Value + "-" + this->Options.StartId + "-" +
               std::to_string(this->NextRequest++)};
  auto Read = keepOutcome([&] { return readStatement(Request, *Target, Id); });
  if (!Read)
    co_return replyWith(Read.error());
  StatementRequest Statement = std::move(Read.value());
  co_return co_await this->runStatement(std::move(Statement));
}

Awaitable<HttpReply> CallerApi::runStatement(StatementRequest Request) {
  RequestContext Context;
  Context.Request = std::move(Request);
  Context.ArrivedAt = this->Time.now();
  Context.Configuration = this->Configuration->current();
  Context.View = this->Upstreams->view(Context.Request.Target);
  auto Passed = keepOutcome([&]() -> Result<std::monostate> {
    BOOST_LEAF_CHECK(this->Chain.apply(Context));
    return std::monostate{};
  });
  if (!Passed) {
    writeDecision(DecisionLine("refuse")
                      .field("request", Context.Request.Id.Value)
                      .field("error", toString(Passed.error().Kind))
                      .field("message", Passed.error().Message));
    co_return replyWith(Passed.error());
  }
  ClientAccountId Owner = Context.Account->Id;
  bool Write = Context.Request.Write;
  TimePoint ArrivedAt = Context.ArrivedAt;
  auto Answer = co_await this->Runner->run(std::move(Context));
  countStatement(Write, Answer, this->Time.now() - ArrivedAt);
  if (!Answer)
    co_return replyWith(Answer.error());
  auto Token = keepOutcome(
      [&] { return this->Codec->encode(Answer.value().Token, Owner); });
  if (!Token)
    co_return replyWith(Token.error());
  HttpReply Reply;
  Reply.Body = encodeAnswer(Answer.value(), Token.value());
  co_return Reply;
}

} // namespace turmericpitch
