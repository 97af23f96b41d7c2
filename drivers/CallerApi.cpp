#include "drivers/CallerApi.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"

namespace turmericpitch {

namespace {

constexpr unsigned NotFound = 404;

HttpReply unknownPath() {
  HttpReply Reply = replyWith(
      {.Kind = ErrorKind::BadRequest,
       .Message = "unknown path or method",
       .Remedy = "POST to /v1/services/{service}/databases/{database}/"
                 "statements or /transactions"});
  Reply.Status = NotFound;
  return Reply;
}

void logRefusal(const RequestId &Id, const Error &Failure) {
  writeDecision(DecisionLine("refuse")
                    .field("request", Id.Value)
                    .field("error", toString(Failure.Kind))
                    .field("message", Failure.Message));
}

void recordRequest(bool Read, const Outcome<StatementAnswer> &Answer,
                   Duration Elapsed) {
  Metrics &Figures = processMetrics();
  Figures.count("statements_total",
                Answer ? "answered" : toString(Answer.error().Kind));
  if (!Answer)
    return;
  Figures.observe("statement_seconds", Read ? "read" : "write", Elapsed);
  if (Read)
    Figures.count("reads_total", toString(Answer.value().ServedBy));
}

} // namespace

CallerApi::CallerApi(CallerApiOptions Options,
                     std::shared_ptr<ConfigurationController> Configuration,
                     std::shared_ptr<UpstreamController> Upstreams,
                     std::shared_ptr<StatementRunner> Runner,
                     std::shared_ptr<TransactionRunner> Transactions,
                     StatementChain Chain,
                     std::shared_ptr<const SessionTokenCodec> Codec)
    : Options(std::move(Options)), Configuration(std::move(Configuration)),
      Upstreams(std::move(Upstreams)), Runner(std::move(Runner)),
      Transactions(std::move(Transactions)), Chain(std::move(Chain)),
      Codec(std::move(Codec)) {}

HttpReply CallerApi::readiness() const {
  bool Ready = !this->Draining && this->Configuration->current();
  HttpReply Reply;
  Reply.Status = Ready ? 200 : httpStatusOf(ErrorKind::Unavailable);
  Reply.Body = Ready ? R"({"ready":true})" : R"({"ready":false})";
  return Reply;
}

Awaitable<HttpReply>
CallerApi::handle(HttpRequest Request,
                  std::shared_ptr<CallerTransaction> Caller) {
  if (Request.Target == "/ready")
    co_return this->readiness();
  auto Target = parseCallerTarget(Request.Target);
  if (!Target || Request.Method != "POST")
    co_return unknownPath();
  RequestId Id{this->Options.Self.Value + "-" + this->Options.StartId + "-" +
               std::to_string(this->NextRequest++)};
  auto Read =
      toOutcome([&] { return readCallerRequest(Request, *Target, Id); });
  if (!Read)
    co_return replyWith(Read.error());
  CallerRequest Parsed = std::move(Read.value());
  HttpReply Reply = co_await this->run(std::move(Parsed), Caller);
  Reply.PinsConnection = Caller->open();
  co_return Reply;
}

Outcome<RequestContext> CallerApi::prepare(const StatementRequest &Request) {
  RequestContext Context;
  Context.Request = Request;
  Context.ArrivedAt = this->Time.now();
  Context.ArrivedAtWall = std::chrono::floor<std::chrono::seconds>(
      std::chrono::system_clock::now());
  Context.Configuration = this->Configuration->current();
  Context.View = this->Upstreams->view(Request.Target);
  return toOutcome([&]() -> Result<RequestContext> {
    BOOST_LEAF_CHECK(this->Chain.apply(Context));
    if (this->Options.OnAdmitted)
      this->Options.OnAdmitted(Request.Target);
    return std::move(Context);
  });
}

template <typename Callable>
HttpReply CallerApi::replyWithToken(const SessionToken &Token,
                                    const ClientAccountId &Owner,
                                    Callable &&Encode) const {
  auto Text = toOutcome([&] { return this->Codec->encode(Token, Owner); });
  if (!Text)
    return replyWith(Text.error());
  HttpReply Reply;
  Reply.Body = Encode(Text.value());
  return Reply;
}

Awaitable<HttpReply> CallerApi::run(CallerRequest Request,
                                    std::shared_ptr<CallerTransaction> Caller) {
  auto Prepared = this->prepare(Request.Request);
  if (!Prepared) {
    logRefusal(Request.Request.Id, Prepared.error());
    co_return replyWith(Prepared.error());
  }
  RequestContext Context = std::move(Prepared.value());
  if (Request.Operation == CallerOperation::Begin)
    co_return co_await this->runBegin(std::move(Context), Caller);
  ClientAccountId Owner = Context.Account->Id;
  bool Read =
      Request.Operation == CallerOperation::Statement && !Context.Request.Write;
  TimePoint ArrivedAt = Context.ArrivedAt;
  auto Answer =
      co_await this->dispatch(std::move(Context), std::move(Request), Caller);
  recordRequest(Read, Answer, this->Time.now() - ArrivedAt);
  if (!Answer)
    co_return replyWith(Answer.error());
  co_return this->replyWithToken(
      Answer.value().Token, Owner, [&](const std::string &Token) {
        return encodeStatementAnswer(Answer.value(), Token);
      });
}

Awaitable<Outcome<StatementAnswer>>
CallerApi::dispatch(RequestContext Context, CallerRequest Request,
                    std::shared_ptr<CallerTransaction> Caller) {
  TransactionId Id = Request.Transaction.value_or(TransactionId{});
  if (Request.Operation == CallerOperation::Commit)
    co_return co_await this->Transactions->commit(std::move(Context), Id,
                                                  Caller);
  if (Request.Operation == CallerOperation::Rollback)
    co_return co_await this->Transactions->rollback(std::move(Context), Id,
                                                    Caller);
  if (Request.Transaction)
    co_return co_await this->Transactions->execute(std::move(Context), Id,
                                                   Caller);
  co_return co_await this->Runner->run(std::move(Context));
}

Awaitable<HttpReply>
CallerApi::runBegin(RequestContext Context,
                    std::shared_ptr<CallerTransaction> Caller) {
  SessionToken Token = Context.Token;
  ClientAccountId Owner = Context.Account->Id;
  RequestId Id = Context.Request.Id;
  auto Begun = co_await this->Transactions->begin(std::move(Context), Caller);
  if (!Begun)
    co_return replyWith(Begun.error());
  co_return this->replyWithToken(Token, Owner, [&](const std::string &Text) {
    return encodeBegunTransaction(Begun.value(), Id, Text);
  });
}

} // namespace turmericpitch
