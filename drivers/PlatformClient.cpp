#include "drivers/PlatformClient.h"

#include "drivers/MemberCodec.h"
#include "drivers/PlatformCodec.h"

namespace turmericpitch {

namespace {

constexpr unsigned HttpOk = 200;
constexpr std::size_t MaximumIdle = 4;

} // namespace

PlatformClient::PlatformClient(Executor On, PlatformClientOptions Options)
    : On(std::move(On)), Options(std::move(Options)) {}

std::shared_ptr<HttpConnection> PlatformClient::takeIdle() {
  std::lock_guard Lock(this->Guard);
  while (!this->Idle.empty()) {
    auto Connection = std::move(this->Idle.back());
    this->Idle.pop_back();
    if (Connection->usable())
      return Connection;
  }
  return nullptr;
}

void PlatformClient::giveBack(std::shared_ptr<HttpConnection> Connection) {
  if (!Connection->usable())
    return;
  std::lock_guard Lock(this->Guard);
  if (this->Idle.size() < MaximumIdle)
    this->Idle.push_back(std::move(Connection));
}

Awaitable<Outcome<KeyValueAnswer>>
PlatformClient::call(KeyValueRequest Request) {
  ++this->Calls;
  std::shared_ptr<HttpConnection> Connection = this->takeIdle();
  if (!Connection) {
    auto Opened = co_await HttpConnection::open(
        this->On, this->Options.Platform, this->Options.ConnectLimit);
    if (!Opened)
      co_return Opened.error();
    Connection = Opened.value();
  }
  EncodedKeyValueRequest Encoded = encodeKeyValueRequest(Request);
  HttpRequest Message;
  Message.Target = std::move(Encoded.Target);
  Message.Host = toString(this->Options.Platform);
  Message.Body = std::move(Encoded.Body);
  auto Reply = co_await Connection->exchange(std::move(Message),
                                             this->Options.CallLimit);
  if (!Reply)
    co_return Reply.error();
  this->giveBack(Connection);
  const HttpReply &Received = Reply.value();
  if (Received.Status != HttpOk)
    co_return decodeError(Received.Body);
  co_return keepOutcome([&] { return decodeKeyValueAnswer(Received.Body); });
}

Awaitable<Status>
PlatformClient::watch(std::string Prefix, Revision After,
                      std::function<bool(const WatchBatch &)> OnBatch) {
  ++this->Calls;
  auto Opened = co_await HttpConnection::open(this->On, this->Options.Platform,
                                              this->Options.ConnectLimit);
  if (!Opened)
    co_return Opened.error();
  std::shared_ptr<HttpConnection> Connection = Opened.value();
  WatchRequest Request{.Prefix = std::move(Prefix), .After = After};
  HttpRequest Message;
  Message.Target = std::string(WatchTarget);
  Message.Host = toString(this->Options.Platform);
  Message.Body = encodeWatchRequest(Request);
  auto OnLine = [OnBatch](std::string_view Line) {
    auto Batch = keepOutcome([&] { return decodeWatchBatch(Line); });
    if (!Batch)
      return false;
    return Batch.value().Events.empty() || OnBatch(Batch.value());
  };
  std::function<bool(std::string_view)> Callback = OnLine;
  co_return co_await Connection->stream(
      std::move(Message), this->Options.WatchSilenceLimit, Callback);
}

} // namespace turmericpitch
