#include "drivers/HttpServer.h"

#include "core/DecisionLog.h"
#include "drivers/AcceptRetry.h"
#include "drivers/ByteStream.h"
#include "drivers/HttpMessages.h"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// Increments a counter for the lifetime of the object.
class ScopedCount {
public:
  explicit ScopedCount(std::atomic<std::size_t> &Counter) : Counter(Counter) {
    ++this->Counter;
  }
  ~ScopedCount() { --this->Counter; }
  ScopedCount(const ScopedCount &) = delete;
  ScopedCount &operator=(const ScopedCount &) = delete;

private:
  std::atomic<std::size_t> &Counter;
};

/// The stage of a connection's current request.
enum class ConnectionPhase { Waiting, Reading, Running, Writing };

/// A connection's stream and the unparsed bytes of its next request. Used on
/// the stream's strand only.
struct ServedConnection {
  ServedConnection(ByteStream::Socket Socket, const TlsContext &Tls)
      : Stream(std::move(Socket), Tls) {}

  /// Whether no byte of a request has arrived and no open work pins the
  /// connection.
  [[nodiscard]] bool idle() const {
    return this->Phase == ConnectionPhase::Waiting && !this->Pinned &&
           this->Unread.empty() && !this->Stream.hasUnread();
  }

  ByteStream Stream;
  std::string Unread;
  ConnectionPhase Phase = ConnectionPhase::Waiting;
  /// Set while a request is read, executed or answered.
  std::optional<ScopedCount> Request;
  /// Set while open work, such as a transaction, pins the connection.
  std::optional<ScopedCount> Pinned;
  /// Whether requests are rejected because the connection was accepted after
  /// rejectNewRequests().
  bool RejectsRequests = false;
  /// Whether abortOpenRequests() answered the request instead of its handler.
  bool Aborted = false;
};

/// Result of reading one request.
struct ReadOutcome {
  /// Whether the client closed the connection or reading failed.
  bool Closed = false;
  /// Set if the request was refused before it was completely read.
  std::optional<Error> Refused;
};

/// Reads one request into Into. The request counts in Requests from its first
/// byte on.
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
    Read.Closed = !Count || Count.value() == 0;
    if (Read.Closed)
      co_return Read;
    From.Unread.append(Chunk.data(), Count.value());
    From.Phase = ConnectionPhase::Reading;
    if (!From.Request)
      From.Request.emplace(Requests);
  }
}

/// Writes a streamed reply. The caller closes the connection afterwards.
Awaitable<void> writeChunks(ByteStream &To, const HttpReply &Reply) {
  To.clearTimeout();
  std::string Bytes = formatStreamBegin(Reply);
  Status Written = co_await To.writeAll(Bytes);
  while (Written) {
    std::optional<std::string> Chunk = co_await Reply.NextChunk();
    Bytes = Chunk ? formatStreamChunk(*Chunk) : formatStreamEnd();
    Written = co_await To.writeAll(Bytes);
    if (!Chunk)
      break;
  }
}

Error shuttingDownError() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "the instance is shutting down; the request did not run",
          .Remedy = "send the request again on a new connection",
          .RetryAfter = Duration{0}};
}

Error abortedError() {
  return {.Kind = ErrorKind::OutcomeUnknown,
          .Message =
              "the instance shut down before the request's outcome was known",
          .Remedy = "check whether the request ran before sending it again, or "
                    "repeat it with its idempotency key"};
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(Executor Exec, HttpServerOptions Options,
        HttpHandlerFactory MakeHandler)
      : Exec(Exec), Options(std::move(Options)),
        MakeHandler(std::move(MakeHandler)), Acceptor(asio::make_strand(Exec)) {
  }

  Awaitable<void> acceptLoop();
  Awaitable<void> serve(std::shared_ptr<ServedConnection> Peer);
  /// Waits for a request's first byte. Returns false if the connection must
  /// be closed.
  Awaitable<bool> awaitRequest(ServedConnection &Peer);
  Awaitable<bool> serveOne(ServedConnection &Peer, const HttpHandler &Handler);
  Awaitable<HttpReply> answer(ServedConnection &Peer, HttpRequestReader &Reader,
                              const HttpHandler &Handler);
  void updatePinned(ServedConnection &Peer, bool Pins);
  template <typename Callable> void onEachConnection(Callable Action);
  Awaitable<void> abortOpenRequests(std::shared_ptr<ServedConnection> Peer);
  std::uint64_t
  registerConnection(const std::shared_ptr<ServedConnection> &Peer);
  void unregisterConnection(std::uint64_t Id);

  Executor Exec;
  HttpServerOptions Options;
  HttpHandlerFactory MakeHandler;
  tcp::acceptor Acceptor;
  std::atomic<bool> Draining = false;
  std::atomic<bool> RejectingNew = false;
  std::atomic<std::size_t> InFlight = 0;
  std::atomic<std::size_t> PinnedCount = 0;

  mutable std::mutex Mutex;
  std::map<std::uint64_t, std::weak_ptr<ServedConnection>> Connections;
  std::uint64_t NextId = 1;
};

HttpServer::HttpServer(Executor Exec, HttpServerOptions Options,
                       HttpHandlerFactory MakeHandler)
    : Shared(std::make_shared<State>(std::move(Exec), std::move(Options),
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
                 .Remedy = "free the address or configure another one"};
  auto Self = this->Shared;
  asio::co_spawn(
      S.Acceptor.get_executor(),
      [Self]() -> Awaitable<void> { co_await Self->acceptLoop(); },
      asio::detached);
  return std::monostate{};
}

template <typename Callable>
void HttpServer::State::onEachConnection(Callable Action) {
  std::lock_guard Lock(this->Mutex);
  for (auto &[Id, Weak] : this->Connections)
    if (auto Peer = Weak.lock())
      asio::dispatch(Peer->Stream.executor(), [Action, Peer] { Action(Peer); });
}

void HttpServer::drain() { this->Shared->Draining = true; }

void HttpServer::rejectNewRequests() {
  this->Shared->Draining = true;
  this->Shared->RejectingNew = true;
  this->Shared->onEachConnection([](const auto &Peer) {
    if (Peer->idle())
      Peer->Stream.close();
  });
}

void HttpServer::abortOpenRequests() {
  this->rejectNewRequests();
  auto Self = this->Shared;
  this->Shared->onEachConnection([Self](const auto &Peer) {
    asio::co_spawn(
        Peer->Stream.executor(),
        [Self, Peer]() -> Awaitable<void> {
          co_await Self->abortOpenRequests(Peer);
        },
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
HttpServer::State::abortOpenRequests(std::shared_ptr<ServedConnection> Peer) {
  if (Peer->Phase == ConnectionPhase::Writing)
    co_return;
  if (Peer->Phase != ConnectionPhase::Waiting && !Peer->Aborted) {
    bool Ran = Peer->Phase == ConnectionPhase::Running;
    Peer->Aborted = true;
    Peer->Phase = ConnectionPhase::Writing;
    HttpReply Reply = replyWith(Ran ? abortedError() : shuttingDownError());
    std::string Bytes = formatReply(Reply, false);
    co_await Peer->Stream.writeAll(Bytes);
    Peer->Request.reset();
  }
  Peer->Stream.close();
}

std::size_t HttpServer::pinnedConnections() const {
  return this->Shared->PinnedCount;
}

std::uint16_t HttpServer::port() const {
  ErrorCode Ignored;
  return this->Shared->Acceptor.local_endpoint(Ignored).port();
}

std::size_t HttpServer::requestsInFlight() const {
  return this->Shared->InFlight;
}

std::size_t HttpServer::connections() const {
  std::lock_guard Lock(this->Shared->Mutex);
  return this->Shared->Connections.size();
}

std::uint64_t HttpServer::State::registerConnection(
    const std::shared_ptr<ServedConnection> &Peer) {
  std::lock_guard Lock(this->Mutex);
  if (this->Connections.size() >= this->Options.MaximumConnections)
    return 0;
  this->Connections.emplace(this->NextId, Peer);
  return this->NextId++;
}

void HttpServer::State::unregisterConnection(std::uint64_t Id) {
  std::lock_guard Lock(this->Mutex);
  this->Connections.erase(Id);
}

Awaitable<void> HttpServer::State::acceptLoop() {
  auto Self = this->shared_from_this();
  while (this->Acceptor.is_open()) {
    ErrorCode Failure;
    auto Strand = asio::make_strand(this->Exec);
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    tcp::socket Socket = co_await this->Acceptor.async_accept(Strand, Token);
    if (Failure == asio::error::operation_aborted)
      co_return;
    if (Failure) {
      writeWarning("event=http_accept_failed reason=" +
                   logValue(Failure.message()));
      asio::steady_timer Retry(this->Acceptor.get_executor(),
                               AcceptRetryInterval);
      co_await Retry.async_wait(Token);
      continue;
    }
    Socket.set_option(tcp::no_delay(true), Failure);
    TlsContext Tls;
    if (this->Options.CurrentTls)
      Tls = this->Options.CurrentTls();
    auto Peer = std::make_shared<ServedConnection>(std::move(Socket), Tls);
    Peer->RejectsRequests = this->RejectingNew;
    asio::co_spawn(
        Peer->Stream.executor(),
        [Self, Peer]() -> Awaitable<void> { co_await Self->serve(Peer); },
        asio::detached);
  }
}

Awaitable<void>
HttpServer::State::serve(std::shared_ptr<ServedConnection> Peer) {
  std::uint64_t Id = this->registerConnection(Peer);
  if (Id == 0)
    co_return;
  Peer->Stream.setTimeout(this->Options.HandshakeTimeout);
  Status Accepted = co_await Peer->Stream.acceptTls();
  bool Open = Accepted.hasValue();
  HttpHandler Handler = this->MakeHandler();
  while (Open) {
    Open = co_await this->awaitRequest(*Peer);
    if (Open)
      Open = co_await this->serveOne(*Peer, Handler);
  }
  Peer->Stream.close();
  this->unregisterConnection(Id);
}

Awaitable<HttpReply> HttpServer::State::answer(ServedConnection &Peer,
                                               HttpRequestReader &Reader,
                                               const HttpHandler &Handler) {
  HttpRequest Request = Reader.take();
  bool Refused = Peer.RejectsRequests && !Peer.Pinned;
  if (Refused)
    co_return replyWith(shuttingDownError());
  co_return co_await Handler(std::move(Request));
}

void HttpServer::State::updatePinned(ServedConnection &Peer, bool Pins) {
  if (!Pins)
    Peer.Pinned.reset();
  else if (!Peer.Pinned)
    Peer.Pinned.emplace(this->PinnedCount);
}

Awaitable<bool> HttpServer::State::awaitRequest(ServedConnection &Peer) {
  Peer.Stream.setTimeout(this->Options.IdleTimeout);
  Peer.Phase = ConnectionPhase::Waiting;
  bool CloseIdle = this->RejectingNew && !Peer.RejectsRequests && Peer.idle();
  if (CloseIdle)
    co_return false;
  if (!Peer.Unread.empty())
    co_return true;
  // Waits without a buffer or a parser, to keep idle connections small.
  Status Readable = co_await Peer.Stream.waitReadable();
  co_return Readable.hasValue() && !Peer.Aborted;
}

Awaitable<bool> HttpServer::State::serveOne(ServedConnection &Peer,
                                            const HttpHandler &Handler) {
  HttpRequestReader Reader(this->Options.Limits);
  if (!Peer.Unread.empty())
    Peer.Request.emplace(this->InFlight);
  ReadOutcome Read = co_await readRequest(Peer, Reader, this->InFlight);
  if (Read.Closed || Peer.Aborted)
    co_return false;
  Peer.Phase = ConnectionPhase::Running;
  Peer.Stream.clearTimeout();
  bool KeepAlive = !Read.Refused && Reader.keepAlive();
  HttpReply Reply;
  if (Read.Refused)
    Reply = replyWith(*Read.Refused);
  else
    Reply = co_await this->answer(Peer, Reader, Handler);
  if (Peer.Aborted)
    co_return false;
  Peer.Phase = ConnectionPhase::Writing;
  if (Reply.NextChunk) {
    Peer.Request.reset();
    co_await writeChunks(Peer.Stream, Reply);
    co_return false;
  }
  this->updatePinned(Peer, Reply.PinsConnection);
  KeepAlive = KeepAlive && (!this->Draining || Peer.Pinned);
  std::string Bytes = formatReply(Reply, KeepAlive);
  Peer.Stream.setTimeout(this->Options.IdleTimeout);
  Status Written = co_await Peer.Stream.writeAll(Bytes);
  Peer.Request.reset();
  co_return KeepAlive &&Written.hasValue();
}

} // namespace turmericpitch
