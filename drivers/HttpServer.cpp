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

/// Counts one thing under way for as long as it lives.
class CountMark {
public:
  explicit CountMark(std::atomic<std::size_t> &Counter) : Counter(Counter) {
    ++this->Counter;
  }
  ~CountMark() { --this->Counter; }
  CountMark(const CountMark &) = delete;
  CountMark &operator=(const CountMark &) = delete;

private:
  std::atomic<std::size_t> &Counter;
};

/// What a connection is doing.
enum class ConnectionPhase { Waiting, Reading, Running, Writing };

/// A connection's stream and the bytes that belong to its next request. Used
/// on the stream's strand only.
struct ServedConnection {
  ServedConnection(ByteStream::Socket Socket, const TlsContext &Tls)
      : Stream(std::move(Socket), Tls) {}

  /// Nothing of a request has come, and none belongs to open work.
  [[nodiscard]] bool idle() const {
    return this->Phase == ConnectionPhase::Waiting && !this->Held &&
           this->Unread.empty() && !this->Stream.hasUnread();
  }

  ByteStream Stream;
  std::string Unread;
  ConnectionPhase Phase = ConnectionPhase::Waiting;
  /// Set while a request is read, run or answered.
  std::optional<CountMark> Request;
  /// Set while the connection holds open work, such as a transaction.
  std::optional<CountMark> Held;
  /// Requests on it are refused, as it came too late.
  bool Late = false;
  /// The request was answered without its handler.
  bool Ended = false;
};

/// What reading one request came to.
struct ReadOutcome {
  /// The client ended the connection, or it failed.
  bool Ended = false;
  /// Why the request was refused before it was read whole.
  std::optional<Error> Refused;
};

/// Reads one request into Into; counts it from its first byte on.
Awaitable<ReadOutcome> readRequest(ServedConnection &From,
                                   HttpRequestReader &Into,
                                   std::atomic<std::size_t> &Requests) {
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
    From.Phase = ConnectionPhase::Reading;
    if (!From.Request)
      From.Request.emplace(Requests);
  }
}

/// Writes a streamed reply; the connection ends with it.
Awaitable<void> writePieces(ByteStream &To, const HttpReply &Reply) {
  To.clearTimeout();
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

Error refusedNew() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "this instance is shutting down; the request did not run",
          .Remedy = "send it again on a new connection",
          .RetryAfter = Duration{0}};
}

Error endedWhileRunning() {
  return {.Kind = ErrorKind::OutcomeUnknown,
          .Message = "this instance ended before the outcome was known",
          .Remedy = "look whether it ran before sending it again, or repeat "
                    "it under its idempotency key"};
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(Executor On, HttpServerOptions Options, HttpHandlerFactory MakeHandler)
      : On(On), Options(std::move(Options)),
        MakeHandler(std::move(MakeHandler)), Acceptor(asio::make_strand(On)) {}

  Awaitable<void> acceptLoop();
  Awaitable<void> serve(std::shared_ptr<ServedConnection> Peer);
  /// Waits for a request's first byte; false if the connection is to end.
  Awaitable<bool> awaitRequest(ServedConnection &Peer);
  Awaitable<bool> serveOne(ServedConnection &Peer, const HttpHandler &Handler);
  Awaitable<HttpReply> answer(ServedConnection &Peer, HttpRequestReader &Reader,
                              const HttpHandler &Handler);
  void noteHeld(ServedConnection &Peer, bool Holds);
  template <typename Callable> void onEachConnection(Callable Act);
  Awaitable<void> endOpen(std::shared_ptr<ServedConnection> Peer);
  std::uint64_t enroll(const std::shared_ptr<ServedConnection> &Peer);
  void release(std::uint64_t Id);

  Executor On;
  HttpServerOptions Options;
  HttpHandlerFactory MakeHandler;
  tcp::acceptor Acceptor;
  std::atomic<bool> Draining = false;
  std::atomic<bool> Refusing = false;
  std::atomic<std::size_t> InFlight = 0;
  std::atomic<std::size_t> Holding = 0;

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

template <typename Callable>
void HttpServer::State::onEachConnection(Callable Act) {
  std::lock_guard Lock(this->Guard);
  for (auto &[Id, Weak] : this->Connections)
    if (auto Peer = Weak.lock())
      asio::dispatch(Peer->Stream.executor(), [Act, Peer] { Act(Peer); });
}

void HttpServer::drain() { this->Shared->Draining = true; }

void HttpServer::refuseNew() {
  this->Shared->Draining = true;
  this->Shared->Refusing = true;
  this->Shared->onEachConnection([](const auto &Peer) {
    if (Peer->idle())
      Peer->Stream.close();
  });
}

void HttpServer::endOpen() {
  this->refuseNew();
  auto Self = this->Shared;
  this->Shared->onEachConnection([Self](const auto &Peer) {
    asio::co_spawn(
        Peer->Stream.executor(),
        [Self, Peer]() -> Awaitable<void> { co_await Self->endOpen(Peer); },
        asio::detached);
  });
}

void HttpServer::close() {
  auto Self = this->Shared;
  Self->Draining = true;
  asio::dispatch(Self->Acceptor.get_executor(), [Self] {
    ErrorCode Ignored;
    Self->Acceptor.close(Ignored);
  });
  Self->onEachConnection([](const auto &Peer) { Peer->Stream.close(); });
}

Awaitable<void>
HttpServer::State::endOpen(std::shared_ptr<ServedConnection> Peer) {
  if (Peer->Phase == ConnectionPhase::Writing)
    co_return;
  if (Peer->Phase != ConnectionPhase::Waiting && !Peer->Ended) {
    bool Ran = Peer->Phase == ConnectionPhase::Running;
    Peer->Ended = true;
    Peer->Phase = ConnectionPhase::Writing;
    HttpReply Reply = replyWith(Ran ? endedWhileRunning() : refusedNew());
    std::string Bytes = formatReply(Reply, false);
    co_await Peer->Stream.writeAll(Bytes);
    Peer->Request.reset();
  }
  Peer->Stream.close();
}

std::size_t HttpServer::connectionsHeld() const {
  return this->Shared->Holding;
}

std::uint16_t HttpServer::port() const {
  ErrorCode Ignored;
  return this->Shared->Acceptor.local_endpoint(Ignored).port();
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
    Peer->Late = this->Refusing;
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
  Peer->Stream.setTimeout(this->Options.HandshakeLimit);
  Status Accepted = co_await Peer->Stream.acceptTls();
  bool Open = Accepted.hasValue();
  HttpHandler Handler = this->MakeHandler();
  while (Open) {
    Open = co_await this->awaitRequest(*Peer);
    if (Open)
      Open = co_await this->serveOne(*Peer, Handler);
  }
  Peer->Stream.close();
  this->release(Id);
}

Awaitable<HttpReply> HttpServer::State::answer(ServedConnection &Peer,
                                               HttpRequestReader &Reader,
                                               const HttpHandler &Handler) {
  HttpRequest Request = Reader.take();
  bool Refused = Peer.Late && !Peer.Held;
  if (Refused)
    co_return replyWith(refusedNew());
  co_return co_await Handler(std::move(Request));
}

void HttpServer::State::noteHeld(ServedConnection &Peer, bool Holds) {
  if (!Holds)
    Peer.Held.reset();
  else if (!Peer.Held)
    Peer.Held.emplace(this->Holding);
}

Awaitable<bool> HttpServer::State::awaitRequest(ServedConnection &Peer) {
  Peer.Stream.setTimeout(this->Options.IdleLimit);
  Peer.Phase = ConnectionPhase::Waiting;
  bool EndsIdle = this->Refusing && !Peer.Late && Peer.idle();
  if (EndsIdle)
    co_return false;
  if (!Peer.Unread.empty())
    co_return true;
  // An idle connection holds neither buffer nor parser.
  Status Readable = co_await Peer.Stream.waitReadable();
  co_return Readable.hasValue() && !Peer.Ended;
}

Awaitable<bool> HttpServer::State::serveOne(ServedConnection &Peer,
                                            const HttpHandler &Handler) {
  HttpRequestReader Reader(this->Options.Limits);
  if (!Peer.Unread.empty())
    Peer.Request.emplace(this->InFlight);
  ReadOutcome Read = co_await readRequest(Peer, Reader, this->InFlight);
  if (Read.Ended || Peer.Ended)
    co_return false;
  Peer.Phase = ConnectionPhase::Running;
  Peer.Stream.clearTimeout();
  bool KeepAlive = !Read.Refused && Reader.keepAlive();
  HttpReply Reply;
  if (Read.Refused)
    Reply = replyWith(*Read.Refused);
  else
    Reply = co_await this->answer(Peer, Reader, Handler);
  if (Peer.Ended)
    co_return false;
  Peer.Phase = ConnectionPhase::Writing;
  if (Reply.NextPiece) {
    Peer.Request.reset();
    co_await writePieces(Peer.Stream, Reply);
    co_return false;
  }
  this->noteHeld(Peer, Reply.HoldsConnection);
  KeepAlive = KeepAlive && (!this->Draining || Peer.Held);
  std::string Bytes = formatReply(Reply, KeepAlive);
  Peer.Stream.setTimeout(this->Options.IdleLimit);
  Status Written = co_await Peer.Stream.writeAll(Bytes);
  Peer.Request.reset();
  co_return KeepAlive &&Written.hasValue();
}

} // namespace turmericpitch
