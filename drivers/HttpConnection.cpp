#include "drivers/HttpConnection.h"

#include "drivers/ByteStream.h"
#include "drivers/HttpMessages.h"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t ReadChunk = 4096;
constexpr HttpLimits ReplyLimits{.Header = 16 * 1024,
                                 .Body = 64ULL * 1024 * 1024};
/// A streamed body is unbounded; only the header size is limited.
constexpr HttpLimits StreamLimits{.Header = 16 * 1024, .Body = UINT64_MAX};

Error failed(ErrorKind Kind, std::string Message) {
  return {.Kind = Kind,
          .Message = std::move(Message),
          .Remedy =
              Kind == ErrorKind::OutcomeUnknown
                  ? "check whether the request ran before sending it again"
                  : "send the request again"};
}

} // namespace

Duration replyTimeout(Duration Timeout, std::size_t ReceivedBytes) {
  constexpr std::size_t MinBytesPerMillisecond = 125;
  return Timeout +
         std::chrono::milliseconds(ReceivedBytes / MinBytesPerMillisecond);
}

struct HttpConnection::State {
  State(const Executor &Exec, const TlsContext &Tls)
      : Stream(tcp::socket(asio::make_strand(Exec)), Tls) {}

  /// Reads available bytes and feeds them to Into.
  Awaitable<Status> readMore(HttpReplyReader &Into);
  /// Reads a whole reply. It may take Timeout, and longer the longer it is.
  Awaitable<Status> readReply(HttpReplyReader &Into, Duration Timeout);

  ByteStream Stream;
  std::string Unread;
  std::size_t ReceivedBytes = 0;
  std::atomic<bool> Usable = false;
};

HttpConnection::HttpConnection(Executor Exec, const TlsContext &Tls)
    : Impl(std::make_unique<State>(Exec, Tls)) {}
HttpConnection::~HttpConnection() = default;

bool HttpConnection::usable() const { return this->Impl->Usable; }

void HttpConnection::close() {
  this->Impl->Usable = false;
  auto Self = this->shared_from_this();
  asio::dispatch(this->Impl->Stream.executor(),
                 [Self] { Self->Impl->Stream.close(); });
}

Awaitable<Outcome<std::shared_ptr<HttpConnection>>>
HttpConnection::open(Executor Exec, Endpoint To, Duration Timeout,
                     TlsContext Tls) {
  auto Connection = std::make_shared<HttpConnection>(Exec, Tls);
  auto Work = [Connection, To, Timeout]() -> Awaitable<Status> {
    co_return co_await Connection->connectOnStrand(To, Timeout);
  };
  Status Connected = co_await asio::co_spawn(
      Connection->Impl->Stream.executor(), Work, asio::use_awaitable);
  if (!Connected)
    co_return Connected.error();
  co_return Connection;
}

Awaitable<Status> HttpConnection::connectOnStrand(Endpoint To,
                                                  Duration Timeout) {
  this->Impl->Stream.setTimeout(Timeout);
  Status Connected = co_await this->Impl->Stream.connect(To);
  if (Connected)
    Connected = co_await this->Impl->Stream.connectTls();
  this->Impl->Stream.clearTimeout();
  this->Impl->Usable = Connected.hasValue();
  co_return Connected;
}

Awaitable<Outcome<HttpReply>> HttpConnection::exchange(HttpRequest Request,
                                                       Duration Timeout) {
  auto Self = this->shared_from_this();
  auto Shared = std::make_shared<HttpRequest>(std::move(Request));
  auto Work = [Self, Shared, Timeout]() -> Awaitable<Outcome<HttpReply>> {
    co_return co_await Self->exchangeOnStrand(std::move(*Shared), Timeout);
  };
  co_return co_await asio::co_spawn(this->Impl->Stream.executor(), Work,
                                    asio::use_awaitable);
}

Awaitable<Status> HttpConnection::State::readMore(HttpReplyReader &Into) {
  std::array<char, ReadChunk> Chunk{};
  std::span<char> Space(Chunk);
  auto Count = co_await this->Stream.readSome(Space);
  if (!Count)
    co_return Count.error();
  if (Count.value() == 0)
    co_return failed(ErrorKind::Unavailable,
                     "HTTP connection closed by the peer");
  this->ReceivedBytes += Count.value();
  this->Unread.append(Chunk.data(), Count.value());
  auto Used = Into.feed(this->Unread);
  if (!Used)
    co_return Used.error();
  this->Unread.erase(0, Used.value());
  co_return std::monostate{};
}

Awaitable<Status> HttpConnection::State::readReply(HttpReplyReader &Into,
                                                   Duration Timeout) {
  auto Began = std::chrono::steady_clock::now();
  this->ReceivedBytes = 0;
  Status Read = std::monostate{};
  while (Read && !Into.done()) {
    Read = co_await this->readMore(Into);
    if (!Read || Into.done())
      break;
    auto Elapsed = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Began);
    this->Stream.setTimeout(replyTimeout(Timeout, this->ReceivedBytes) -
                            Elapsed);
  }
  co_return Read;
}

Awaitable<Outcome<HttpReply>>
HttpConnection::exchangeOnStrand(HttpRequest Request, Duration Timeout) {
  State &S = *this->Impl;
  // The connection stays unusable until the reply is complete, so that a
  // delayed reply is never matched to another request.
  if (!S.Usable.exchange(false))
    co_return failed(ErrorKind::NotRun,
                     "HTTP connection is closed or already carries a request");
  // Checked before anything is sent, so that NotRun is certain.
  if (S.Stream.endedByPeer())
    co_return failed(ErrorKind::NotRun, "HTTP connection closed by the peer");
  std::string Bytes = formatRequest(Request);
  S.Stream.setTimeout(Timeout);
  Status Written = co_await S.Stream.writeAll(Bytes);
  HttpReplyReader Reader(ReplyLimits);
  Status Read = Written;
  if (Written)
    Read = co_await S.readReply(Reader, Timeout);
  S.Stream.clearTimeout();
  if (!Written)
    co_return Written.error();
  if (!Read)
    co_return failed(ErrorKind::OutcomeUnknown, Read.error().Message);
  HttpReply Reply;
  Reply.Status = Reader.status();
  Reply.Fields = Reader.fields();
  Reply.Body = Reader.takeBody();
  // Bytes after the reply belong to no request, so the connection is not
  // reused.
  S.Usable = Reader.keepAlive() && S.Unread.empty();
  co_return Reply;
}

Awaitable<Status>
HttpConnection::stream(HttpRequest Request, Duration IdleTimeout,
                       std::function<bool(std::string_view)> OnLine) {
  auto Self = this->shared_from_this();
  auto Shared = std::make_shared<HttpRequest>(std::move(Request));
  auto Work = [Self, Shared, IdleTimeout, OnLine]() -> Awaitable<Status> {
    co_return co_await Self->streamOnStrand(std::move(*Shared), IdleTimeout,
                                            OnLine);
  };
  co_return co_await asio::co_spawn(this->Impl->Stream.executor(), Work,
                                    asio::use_awaitable);
}

Awaitable<Status>
HttpConnection::streamOnStrand(HttpRequest Request, Duration IdleTimeout,
                               std::function<bool(std::string_view)> OnLine) {
  State &S = *this->Impl;
  S.Usable = false;
  std::string Bytes = formatRequest(Request);
  S.Stream.setTimeout(IdleTimeout);
  Status Progress = co_await S.Stream.writeAll(Bytes);
  HttpReplyReader Reader(StreamLimits);
  std::string Pending;
  while (Progress && !Reader.done()) {
    S.Stream.setTimeout(IdleTimeout);
    Progress = co_await S.readMore(Reader);
    Pending += Reader.takeBody();
    std::size_t LineEnd = Pending.find('\n');
    while (LineEnd != std::string::npos) {
      if (!OnLine(std::string_view(Pending).substr(0, LineEnd))) {
        S.Stream.close();
        co_return std::monostate{};
      }
      Pending.erase(0, LineEnd + 1);
      LineEnd = Pending.find('\n');
    }
  }
  S.Stream.close();
  if (!Progress)
    co_return failed(ErrorKind::Unavailable, Progress.error().Message);
  co_return failed(ErrorKind::Unavailable, "HTTP stream closed by the peer");
}

} // namespace turmericpitch
