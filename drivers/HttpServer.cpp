#include "drivers/HttpServer.h"

#include "drivers/ByteStream.h"
#include "drivers/HttpMessages.h"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <mutex>

namespace turmericpitch {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using ErrorCode = boost::system::error_code;

constexpr std::size_t ReadChunk = 4096;

/// A connection's stream and the bytes that belong to its next request.
struct ServedConnection {
  ServedConnection(ByteStream::Socket Socket, const TlsContext &Tls)
      : Stream(std::move(Socket), Tls) {}

  ByteStream Stream;
  std::string Unread;
};

/// What reading one request came to.
struct ReadOutcome {
  /// The client ended the connection, or it failed.
  bool Ended = false;
  /// Why the request was refused before it was read whole.
  std::optional<Error> Refused;
};

/// Reads one request into Into.
Awaitable<ReadOutcome> readRequest(ServedConnection &From,
                                   HttpRequestReader &Into) {
  ReadOutcome Read;
  std::array<char, ReadChunk> Chunk{};
  while (true) {
    auto Used = Into.feed(From.Unread);
    if (!Used) {
      Read.Refused = Used.error();
      co_return Read;
    }
    From.Unread.erase(0, Used.value());
    if (Into.done())
      co_return Read;
    std::span<char> Space(Chunk);
    auto Count = co_await From.Stream.readSome(Space);
    Read.Ended = !Count || Count.value() == 0;
    if (Read.Ended)
      co_return Read;
    From.Unread.append(Chunk.data(), Count.value());
  }
}

/// Writes a streamed reply; the connection ends with it.
Awaitable<void> writePieces(ByteStream &To, const HttpReply &Reply) {
  To.clearLimit();
  std::string Bytes = formatStreamBegin(Reply);
  Status Written = co_await To.writeAll(Bytes);
  while (Written) {
    std::optional<std::string> Piece = co_await Reply.NextPiece();
    Bytes = Piece ? formatStreamPiece(*Piece) : formatStreamEnd();
    Written = co_await To.writeAll(Bytes);
    if (!Piece)
      break;
  }
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(Executor On, HttpServerOptions Options, HttpHandlerFactory MakeHandler)
      : On(On), Options(std::move(Options)),
        MakeHandler(std::move(MakeHandler)), Acceptor(asio::make_strand(On)) {}

  Awaitable<void> acceptLoop();
  Awaitable<void> serve(std::shared_ptr<ServedConnection> Peer);
  Awaitable<bool> serveOne(ServedConnection &Peer, const HttpHandler &Handler);
  std::uint64_t enroll(const std::shared_ptr<ServedConnection> &Peer);
  void release(std::uint64_t Id);

  Executor On;
  HttpServerOptions Options;
  HttpHandlerFactory MakeHandler;
  tcp::acceptor Acceptor;
  std::atomic<bool> Draining = false;
  std::atomic<std::size_t> InFlight = 0;

  mutable std::mutex Guard;
  std::map<std::uint64_t, std::weak_ptr<ServedConnection>> Connections;
  std::uint64_t NextId = 1;
};

HttpServer::HttpServer(Executor On, HttpServerOptions Options,
                       HttpHandlerFactory MakeHandler)
    : Shared(std::make_shared<State>(std::move(On), std::move(Options),
                                     std::move(MakeHandler))) {}

HttpServer::~HttpServer() { this->close(); }

Status HttpServer::start() {
  State &S = *this->Shared;
  ErrorCode Failure;
  tcp::endpoint Where(asio::ip::make_address(S.Options.Listen.Address, Failure),
                      S.Options.Listen.Port);
  if (!Failure)
    S.Acceptor.open(Where.protocol(), Failure);
  if (!Failure)
    S.Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    S.Acceptor.bind(Where, Failure);
  if (!Failure)
    S.Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error{.Kind = ErrorKind::Unavailable,
                 .Message = "can't listen on " + toString(S.Options.Listen) +
                            ": " + Failure.message(),
                 .Remedy = "free the address or set another one"};
  auto Self = this->Shared;
  asio::co_spawn(
      S.Acceptor.get_executor(),
      [Self]() -> Awaitable<void> { co_await Self->acceptLoop(); },
      asio::detached);
  return std::monostate{};
}

void HttpServer::drain() {
  auto Self = this->Shared;
  Self->Draining = true;
  asio::dispatch(Self->Acceptor.get_executor(), [Self] {
    ErrorCode Ignored;
    Self->Acceptor.close(Ignored);
  });
}

void HttpServer::close() {
  this->drain();
  std::lock_guard Lock(this->Shared->Guard);
  for (auto &[Id, Weak] : this->Shared->Connections)
    if (auto Peer = Weak.lock())
      asio::dispatch(Peer->Stream.executor(), [Peer] { Peer->Stream.close(); });
}

std::size_t HttpServer::requestsInFlight() const {
  return this->Shared->InFlight;
}

std::size_t HttpServer::connections() const {
  std::lock_guard Lock(this->Shared->Guard);
  return this->Shared->Connections.size();
}

std::uint64_t
HttpServer::State::enroll(const std::shared_ptr<ServedConnection> &Peer) {
  std::lock_guard Lock(this->Guard);
  if (this->Connections.size() >= this->Options.MaximumConnections)
    return 0;
  this->Connections.emplace(this->NextId, Peer);
  return this->NextId++;
}

void HttpServer::State::release(std::uint64_t Id) {
  std::lock_guard Lock(this->Guard);
  this->Connections.erase(Id);
}

Awaitable<void> HttpServer::State::acceptLoop() {
  auto Self = this->shared_from_this();
  while (this->Acceptor.is_open()) {
    ErrorCode Failure;
    auto Strand = asio::make_strand(this->On);
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    tcp::socket Socket = co_await this->Acceptor.async_accept(Strand, Token);
    if (Failure)
      continue;
    Socket.set_option(tcp::no_delay(true), Failure);
    TlsContext Tls;
    if (this->Options.CurrentTls)
      Tls = this->Options.CurrentTls();
    auto Peer = std::make_shared<ServedConnection>(std::move(Socket), Tls);
    asio::co_spawn(
        Peer->Stream.executor(),
        [Self, Peer]() -> Awaitable<void> { co_await Self->serve(Peer); },
        asio::detached);
  }
}

Awaitable<void>
HttpServer::State::serve(std::shared_ptr<ServedConnection> Peer) {
  std::uint64_t Id = this->enroll(Peer);
  if (Id == 0)
    co_return;
  Peer->Stream.setLimit(this->Options.HandshakeLimit);
  Status Accepted = co_await Peer->Stream.acceptTls();
  bool Open = Accepted.hasValue();
  HttpHandler Handler = this->MakeHandler();
  while (Open)
    Open = co_await this->serveOne(*Peer, Handler);
  Peer->Stream.close();
  this->release(Id);
}

Awaitable<bool> HttpServer::State::serveOne(ServedConnection &Peer,
                                            const HttpHandler &Handler) {
  Peer.Stream.setLimit(this->Options.IdleLimit);
  HttpRequestReader Reader(this->Options.Limits);
  ReadOutcome Read = co_await readRequest(Peer, Reader);
  if (Read.Ended)
    co_return false;
  ++this->InFlight;
  Peer.Stream.clearLimit();
  HttpReply Reply;
  bool KeepAlive = false;
  if (Read.Refused) {
    Reply = replyWith(*Read.Refused);
  } else {
    KeepAlive = Reader.keepAlive();
    HttpRequest Request = Reader.take();
    Reply = co_await Handler(std::move(Request));
  }
  if (Reply.NextPiece) {
    --this->InFlight;
    co_await writePieces(Peer.Stream, Reply);
    co_return false;
  }
  KeepAlive = KeepAlive && !this->Draining;
  std::string Bytes = formatReply(Reply, KeepAlive);
  Peer.Stream.setLimit(this->Options.IdleLimit);
  Status Written = co_await Peer.Stream.writeAll(Bytes);
  --this->InFlight;
  co_return KeepAlive &&Written.hasValue();
}

} // namespace turmericpitch
