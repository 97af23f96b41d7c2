#include "drivers/HttpServer.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>

namespace turmericpitch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

using Stream = beast::tcp_stream;
using Parser = http::request_parser<http::string_body>;
using ErrorCode = boost::system::error_code;

HttpRequest takeRequest(Parser &Received) {
  auto Message = Received.release();
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.Host = std::string(Message[http::field::host]);
  Request.Authorization = std::string(Message[http::field::authorization]);
  Request.Body = std::move(Message.body());
  return Request;
}

http::response<http::string_body> makeResponse(HttpReply Reply,
                                               bool KeepAlive) {
  http::response<http::string_body> Response;
  Response.result(Reply.Status);
  Response.set(http::field::content_type, Reply.ContentType);
  if (Reply.RetryAfter)
    Response.set(http::field::retry_after,
                 std::to_string(
                     std::chrono::ceil<std::chrono::seconds>(*Reply.RetryAfter)
                         .count()));
  Response.keep_alive(KeepAlive);
  Response.body() = std::move(Reply.Body);
  Response.prepare_payload();
  return Response;
}

/// Writes a streamed reply; the connection ends with it.
Awaitable<void> writePieces(Stream &Peer, HttpReply Reply) {
  http::response<http::empty_body> Header;
  Header.result(Reply.Status);
  Header.set(http::field::content_type, Reply.ContentType);
  Header.chunked(true);
  Header.keep_alive(false);
  http::response_serializer<http::empty_body> Serializer(Header);
  ErrorCode Failure;
  Peer.expires_never();
  auto HeaderToken = asio::redirect_error(asio::use_awaitable, Failure);
  co_await http::async_write_header(Peer, Serializer, HeaderToken);
  while (!Failure) {
    std::optional<std::string> Piece = co_await Reply.NextPiece();
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    if (!Piece) {
      co_await asio::async_write(Peer, http::make_chunk_last(), Token);
      break;
    }
    auto Chunk = http::make_chunk(asio::buffer(*Piece));
    co_await asio::async_write(Peer, Chunk, Token);
  }
}

Error tooLarge() {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "request larger than the limit",
          .Remedy = "send a smaller request"};
}

Error malformedHttp() {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "malformed HTTP request",
          .Remedy = "send HTTP/1.1"};
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(Executor On, HttpServerOptions Options, HttpHandlerFactory MakeHandler)
      : On(On), Options(std::move(Options)),
        MakeHandler(std::move(MakeHandler)), Acceptor(asio::make_strand(On)) {}

  Awaitable<void> acceptLoop();
  Awaitable<void> serve(std::shared_ptr<Stream> Peer);
  Awaitable<bool> serveOne(Stream &Peer, beast::flat_buffer &Buffer,
                           const HttpHandler &Handler);
  std::uint64_t enroll(const std::shared_ptr<Stream> &Peer);
  void release(std::uint64_t Id);

  Executor On;
  HttpServerOptions Options;
  HttpHandlerFactory MakeHandler;
  tcp::acceptor Acceptor;
  std::atomic<bool> Draining = false;
  std::atomic<std::size_t> InFlight = 0;

  mutable std::mutex Guard;
  std::map<std::uint64_t, std::weak_ptr<Stream>> Connections;
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
      asio::dispatch(Peer->get_executor(), [Peer] { Peer->close(); });
}

std::size_t HttpServer::requestsInFlight() const {
  return this->Shared->InFlight;
}

std::size_t HttpServer::connections() const {
  std::lock_guard Lock(this->Shared->Guard);
  return this->Shared->Connections.size();
}

std::uint64_t HttpServer::State::enroll(const std::shared_ptr<Stream> &Peer) {
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
    auto Peer = std::make_shared<Stream>(std::move(Socket));
    asio::co_spawn(
        Peer->get_executor(),
        [Self, Peer]() -> Awaitable<void> { co_await Self->serve(Peer); },
        asio::detached);
  }
}

Awaitable<void> HttpServer::State::serve(std::shared_ptr<Stream> Peer) {
  std::uint64_t Id = this->enroll(Peer);
  if (Id == 0)
    co_return;
  HttpHandler Handler = this->MakeHandler();
  beast::flat_buffer Buffer;
  bool Open = true;
  while (Open)
    Open = co_await this->serveOne(*Peer, Buffer, Handler);
  ErrorCode Ignored;
  Peer->socket().shutdown(tcp::socket::shutdown_both, Ignored);
  this->release(Id);
}

Awaitable<bool> HttpServer::State::serveOne(Stream &Peer,
                                            beast::flat_buffer &Buffer,
                                            const HttpHandler &Handler) {
  Parser Received;
  Received.body_limit(this->Options.MaximumBody);
  Received.header_limit(this->Options.MaximumHeader);
  Peer.expires_after(this->Options.IdleLimit);
  ErrorCode Failure;
  auto ReadToken = asio::redirect_error(asio::use_awaitable, Failure);
  co_await http::async_read(Peer, Buffer, Received, ReadToken);
  bool TooLarge = Failure == http::error::body_limit ||
                  Failure == http::error::header_limit;
  bool Malformed =
      Failure && !TooLarge &&
      Failure.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      Failure != http::error::end_of_stream &&
      Failure != http::error::partial_message;
  if (Failure && !TooLarge && !Malformed)
    co_return false;
  ++this->InFlight;
  Peer.expires_never();
  HttpReply Reply;
  bool KeepAlive = false;
  if (Failure) {
    Reply = replyWith(TooLarge ? tooLarge() : malformedHttp());
  } else {
    KeepAlive = Received.get().keep_alive();
    HttpRequest Request = takeRequest(Received);
    Reply = co_await Handler(std::move(Request));
  }
  KeepAlive = KeepAlive && !this->Draining;
  if (Reply.NextPiece) {
    --this->InFlight;
    co_await writePieces(Peer, std::move(Reply));
    co_return false;
  }
  auto Response = makeResponse(std::move(Reply), KeepAlive);
  Peer.expires_after(this->Options.IdleLimit);
  ErrorCode WriteFailure;
  auto WriteToken = asio::redirect_error(asio::use_awaitable, WriteFailure);
  co_await http::async_write(Peer, Response, WriteToken);
  --this->InFlight;
  co_return KeepAlive && !WriteFailure;
}

} // namespace turmericpitch
