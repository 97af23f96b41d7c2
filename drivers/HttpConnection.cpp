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
/// A stream has no end: only its header is bounded.
constexpr HttpLimits StreamLimits{.Header = 16 * 1024, .Body = UINT64_MAX};

Error failed(ErrorKind Kind, std::string Message) {
  return {.Kind = Kind,
          .Message = std::move(Message),
          .Remedy = Kind == ErrorKind::OutcomeUnknown
                        ? "look whether it ran before sending it again"
                        : "send it again"};
}

} // namespace

struct HttpConnection::State {
  State(const Executor &On, const TlsContext &Tls)
      : Stream(tcp::socket(asio::make_strand(On)), Tls) {}

  /// Reads bytes and hands them to a reply's reader.
  Awaitable<Status> readMore(HttpReplyReader &Into);

  ByteStream Stream;
  std::string Unread;
  std::atomic<bool> Usable = false;
};

HttpConnection::HttpConnection(Executor On, const TlsContext &Tls)
    : Own(std::make_unique<State>(On, Tls)) {}
HttpConnection::~HttpConnection() = default;

bool HttpConnection::usable() const { return this->Own->Usable; }

void HttpConnection::close() {
  this->Own->Usable = false;
  auto Self = this->shared_from_this();
  asio::dispatch(this->Own->Stream.executor(),
                 [Self] { Self->Own->Stream.close(); });
}

Awaitable<Outcome<std::shared_ptr<HttpConnection>>>
HttpConnection::open(Executor On, Endpoint To, Duration Limit, TlsContext Tls) {
  auto Made = std::make_shared<HttpConnection>(On, Tls);
  auto Work = [Made, To, Limit]() -> Awaitable<Status> {
    co_return co_await Made->connectOnStrand(To, Limit);
  };
  Status Connected = co_await asio::co_spawn(Made->Own->Stream.executor(), Work,
                                             asio::use_awaitable);
  if (!Connected)
    co_return Connected.error();
  co_return Made;
}

Awaitable<Status> HttpConnection::connectOnStrand(Endpoint To, Duration Limit) {
  this->Own->Stream.setTimeout(Limit);
  Status Connected = co_await this->Own->Stream.connect(To);
  if (Connected)
    Connected = co_await this->Own->Stream.connectTls();
  this->Own->Stream.clearTimeout();
  this->Own->Usable = Connected.hasValue();
  co_return Connected;
}

Awaitable<Outcome<HttpReply>> HttpConnection::exchange(HttpRequest Request,
                                                       Duration Limit) {
  auto Self = this->shared_from_this();
  auto Shared = std::make_shared<HttpRequest>(std::move(Request));
  auto Work = [Self, Shared, Limit]() -> Awaitable<Outcome<HttpReply>> {
    co_return co_await Self->exchangeOnStrand(std::move(*Shared), Limit);
  };
  co_return co_await asio::co_spawn(this->Own->Stream.executor(), Work,
                                    asio::use_awaitable);
}

Awaitable<Status> HttpConnection::State::readMore(HttpReplyReader &Into) {
  std::array<char, ReadChunk> Chunk{};
  std::span<char> Space(Chunk);
  auto Count = co_await this->Stream.readSome(Space);
  if (!Count)
    co_return Count.error();
  if (Count.value() == 0)
    co_return failed(ErrorKind::Unavailable, "connection ended by the peer");
  this->Unread.append(Chunk.data(), Count.value());
  auto Used = Into.feed(this->Unread);
  if (!Used)
    co_return Used.error();
  this->Unread.erase(0, Used.value());
  co_return std::monostate{};
}

Awaitable<Outcome<HttpReply>>
HttpConnection::exchangeOnStrand(HttpRequest Request, Duration Limit) {
  State &S = *this->Own;
  // Marked unusable until the whole reply is in, so that a late reply can
  // never be taken for another request's.
  if (!S.Usable.exchange(false))
    co_return failed(ErrorKind::NotRun, "connection not usable");
  // Found out before anything is sent, so that it provably did not run.
  if (S.Stream.endedByPeer())
    co_return failed(ErrorKind::NotRun, "connection ended by the peer");
  std::string Bytes = formatRequest(Request);
  S.Stream.setTimeout(Limit);
  Status Written = co_await S.Stream.writeAll(Bytes);
  HttpReplyReader Reader(ReplyLimits);
  Status Read = Written;
  while (Read && !Reader.done())
    Read = co_await S.readMore(Reader);
  S.Stream.clearTimeout();
  if (!Written)
    co_return Written.error();
  if (!Read)
    co_return failed(ErrorKind::OutcomeUnknown, Read.error().Message);
  HttpReply Reply;
  Reply.Status = Reader.status();
  Reply.Body = Reader.takeBody();
  // Bytes beyond the reply belong to nothing that was asked.
  S.Usable = Reader.keepAlive() && S.Unread.empty();
  co_return Reply;
}

Awaitable<Status>
HttpConnection::stream(HttpRequest Request, Duration SilenceLimit,
                       std::function<bool(std::string_view)> OnLine) {
  auto Self = this->shared_from_this();
  auto Shared = std::make_shared<HttpRequest>(std::move(Request));
  auto Work = [Self, Shared, SilenceLimit, OnLine]() -> Awaitable<Status> {
    co_return co_await Self->streamOnStrand(std::move(*Shared), SilenceLimit,
                                            OnLine);
  };
  co_return co_await asio::co_spawn(this->Own->Stream.executor(), Work,
                                    asio::use_awaitable);
}

Awaitable<Status>
HttpConnection::streamOnStrand(HttpRequest Request, Duration SilenceLimit,
                               std::function<bool(std::string_view)> OnLine) {
  State &S = *this->Own;
  S.Usable = false;
  std::string Bytes = formatRequest(Request);
  S.Stream.setTimeout(SilenceLimit);
  Status Going = co_await S.Stream.writeAll(Bytes);
  HttpReplyReader Reader(StreamLimits);
  std::string Pending;
  while (Going && !Reader.done()) {
    S.Stream.setTimeout(SilenceLimit);
    Going = co_await S.readMore(Reader);
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
  if (!Going)
    co_return failed(ErrorKind::Unavailable, Going.error().Message);
  co_return failed(ErrorKind::Unavailable, "stream ended by the peer");
}

} // namespace turmericpitch
