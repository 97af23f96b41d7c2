#include "drivers/PlatformClient.h"

#include "drivers/MemberCodec.h"
#include "drivers/PlatformCodec.h"

namespace turmericpitch {

namespace {

constexpr unsigned HttpOk = 200;

} // namespace

PlatformClient::PlatformClient(Executor Exec, PlatformClientOptions Options)
    : Exec(Exec), Options(Options),
      Client(std::move(Exec), {.Service = Options.Platform,
                               .ConnectTimeout = Options.ConnectTimeout}) {}

Awaitable<Outcome<KeyValueAnswer>>
PlatformClient::call(KeyValueRequest Request) {
  EncodedKeyValueRequest Encoded = encodeKeyValueRequest(Request);
  HttpRequest Message;
  Message.Target = std::move(Encoded.Target);
  Message.Body = std::move(Encoded.Body);
  auto Reply =
      co_await this->Client.call(std::move(Message), this->Options.CallTimeout);
  if (!Reply)
    co_return Reply.error();
  const HttpReply &Received = Reply.value();
  if (Received.Status != HttpOk)
    co_return decodeError(Received.Body);
  co_return toOutcome([&] { return decodeKeyValueAnswer(Received.Body); });
}

Awaitable<Status>
PlatformClient::watch(std::string Prefix, Revision After,
                      std::function<bool(const WatchBatch &)> OnBatch) {
  ++this->Watches;
  auto Opened = co_await HttpConnection::open(
      this->Exec, this->Options.Platform, this->Options.ConnectTimeout);
  if (!Opened)
    co_return Opened.error();
  std::shared_ptr<HttpConnection> Connection = Opened.value();
  WatchRequest Request{.Prefix = std::move(Prefix), .After = After};
  HttpRequest Message;
  Message.Target = std::string(WatchTarget);
  Message.Host = toString(this->Options.Platform);
  Message.Body = encodeWatchRequest(Request);
  auto OnLine = [OnBatch](std::string_view Line) {
    auto Batch = toOutcome([&] { return decodeWatchBatch(Line); });
    if (!Batch)
      return false;
    return Batch.value().Events.empty() || OnBatch(Batch.value());
  };
  std::function<bool(std::string_view)> Callback = OnLine;
  co_return co_await Connection->stream(
      std::move(Message), this->Options.WatchIdleTimeout, Callback);
}

} // namespace turmericpitch
