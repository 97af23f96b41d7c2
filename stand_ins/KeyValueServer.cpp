#include "stand_ins/KeyValueServer.h"

#include "drivers/MemberCodec.h"
#include "drivers/PlatformCodec.h"

#include <mutex>

namespace turmericpitch {

namespace {

constexpr std::string_view FaultsTarget = "/stand-in/faults";
constexpr Duration WatchPollInterval = std::chrono::seconds(1);
constexpr Duration LostAnswerDelay = std::chrono::minutes(1);
/// The body limit leaves room for a value of the maximum size in base64.
constexpr HttpLimits RequestLimits{.Header = 16 * 1024,
                                   .Body = 2 * 1024 * 1024};

Result<KeyValueFaults> readFaults(const std::string &Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Reader(Json);
  KeyValueFaults Faults;
  Faults.Outage = Reader.flag("outage", false);
  Faults.WriteAnswersToLose =
      static_cast<std::uint32_t>(Reader.number("lose_write_answers", 0));
  Faults.AddedLatency =
      Reader.milliseconds("slowness_ms").value_or(Duration{0});
  BOOST_LEAF_CHECK(Reader.finish());
  return Faults;
}

} // namespace

struct KeyValueServer::State : std::enable_shared_from_this<State> {
  explicit State(KeyValueLimits Limits) : Store(Limits) {}

  Awaitable<HttpReply> handle(HttpRequest Request);
  Awaitable<HttpReply> handleCall(const HttpRequest &Request);
  HttpReply startWatch(const HttpRequest &Request);
  Awaitable<std::optional<std::string>>
  nextChunk(std::string Prefix, std::shared_ptr<Revision> SentUpTo);

  std::mutex Mutex;
  KeyValueStore Store;
  ChangeSignal Changed;
  MonotonicClock Time;
};

KeyValueServer::KeyValueServer(Executor Exec, Endpoint Listen,
                               KeyValueLimits Limits)
    : Shared(std::make_shared<State>(Limits)),
      Server(std::move(Exec),
             HttpServerOptions{.Listen = std::move(Listen),
                               .Limits = RequestLimits},
             [Shared = this->Shared]() -> HttpHandler {
               return [Shared](HttpRequest Request) -> Awaitable<HttpReply> {
                 return Shared->handle(std::move(Request));
               };
             }) {}

Status KeyValueServer::start() { return this->Server.start(); }
void KeyValueServer::close() { this->Server.close(); }

void KeyValueServer::setFaults(const KeyValueFaults &Faults) {
  {
    std::lock_guard Lock(this->Shared->Mutex);
    this->Shared->Store.faults() = Faults;
  }
  this->Shared->Changed.notify();
}

KeyValueCounters KeyValueServer::counters() const {
  std::lock_guard Lock(this->Shared->Mutex);
  return this->Shared->Store.counters();
}

Awaitable<HttpReply> KeyValueServer::State::handle(HttpRequest Request) {
  auto Self = this->shared_from_this();
  if (Request.Target == FaultsTarget) {
    auto Faults = toOutcome([&] { return readFaults(Request.Body); });
    if (!Faults)
      co_return replyWith(Faults.error());
    {
      std::lock_guard Lock(this->Mutex);
      this->Store.faults() = Faults.value();
    }
    this->Changed.notify();
    co_return HttpReply{.Body = "{}"};
  }
  if (Request.Target == WatchTarget)
    co_return this->startWatch(Request);
  co_return co_await this->handleCall(Request);
}

Awaitable<HttpReply>
KeyValueServer::State::handleCall(const HttpRequest &Request) {
  auto Decoded = toOutcome(
      [&] { return decodeKeyValueRequest(Request.Target, Request.Body); });
  if (!Decoded)
    co_return replyWith(Decoded.error());
  Duration AddedLatency{0};
  {
    std::lock_guard Lock(this->Mutex);
    AddedLatency = this->Store.faults().AddedLatency;
  }
  if (AddedLatency > Duration{0})
    co_await sleepFor(AddedLatency);
  std::optional<Outcome<KeyValueAnswer>> Answer;
  {
    std::lock_guard Lock(this->Mutex);
    Answer = this->Store.call(Decoded.value(), this->Time.now());
  }
  this->Changed.notify();
  if (*Answer) {
    HttpReply Reply;
    Reply.Body = encodeKeyValueAnswer(Decoded.value(), Answer->value());
    co_return Reply;
  }
  // Simulates a lost reply by delaying it for longer than clients wait.
  if (Answer->error().Kind == ErrorKind::OutcomeUnknown)
    co_await sleepFor(LostAnswerDelay);
  co_return replyWith(Answer->error());
}

HttpReply KeyValueServer::State::startWatch(const HttpRequest &Request) {
  auto Decoded = toOutcome([&] { return decodeWatchRequest(Request.Body); });
  if (!Decoded)
    return replyWith(Decoded.error());
  std::lock_guard Lock(this->Mutex);
  Status Admitted = this->Store.admitWatch(this->Time.now());
  if (!Admitted)
    return replyWith(Admitted.error());
  auto SentUpTo = std::make_shared<Revision>(Decoded.value().After);
  auto Self = this->shared_from_this();
  HttpReply Reply;
  Reply.NextChunk = [Self, Prefix = Decoded.value().Prefix,
                     SentUpTo]() -> Awaitable<std::optional<std::string>> {
    return Self->nextChunk(Prefix, SentUpTo);
  };
  return Reply;
}

Awaitable<std::optional<std::string>>
KeyValueServer::State::nextChunk(std::string Prefix,
                                 std::shared_ptr<Revision> SentUpTo) {
  while (true) {
    std::uint64_t Generation = this->Changed.generation();
    std::string Lines;
    {
      std::lock_guard Lock(this->Mutex);
      if (this->Store.faults().Outage)
        co_return std::nullopt;
      this->Store.expireLeases(this->Time.now());
      for (const WatchBatch &Batch :
           this->Store.eventsAfter(Prefix, *SentUpTo)) {
        Lines += encodeWatchBatch(Batch) + "\n";
        *SentUpTo = Batch.StoreRevision;
      }
    }
    if (!Lines.empty())
      co_return Lines;
    co_await this->Changed.wait(Generation, WatchPollInterval);
  }
}

} // namespace turmericpitch
