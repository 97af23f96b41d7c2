#include "drivers/HttpConnection.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace turmericpitch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

using ErrorCode = boost::system::error_code;

constexpr std::size_t MaximumReply = 64UL * 1024 * 1024;
constexpr std::size_t StreamChunk = 16UL * 1024;

http::request<http::string_body> makeMessage(HttpRequest Request) {
  http::request<http::string_body> Message;
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.set(http::field::host, Request.Host);
  if (!Request.Authorization.empty())
    Message.set(http::field::authorization, Request.Authorization);
  Message.set(http::field::content_type, "application/json");
  Message.keep_alive(true);
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

Error ended(ErrorKind Kind, const ErrorCode &Failure) {
  return {.Kind = Kind,
          .Message = "connection failed: " + Failure.message(),
          .Remedy = Kind == ErrorKind::OutcomeUnknown
                        ? "look whether it ran before sending it again"
                        : "send it again"};
}

} // namespace

struct HttpConnection::State {
  explicit State(const Executor &On) : Peer(asio::make_strand(On)) {}

  beast::tcp_stream Peer;
  beast::flat_buffer Buffer;
  std::atomic<bool> Usable = false;
};

HttpConnection::HttpConnection(Executor On)
    : Own(std::make_unique<State>(std::move(On))) {}
HttpConnection::~HttpConnection() = default;

bool HttpConnection::usable() const { return this->Own->Usable; }

void HttpConnection::close() {
  this->Own->Usable = false;
  auto Self = this->shared_from_this();
  asio::dispatch(this->Own->Peer.get_executor(),
                 [Self] { Self->Own->Peer.close(); });
}

Awaitable<Outcome<std::shared_ptr<HttpConnection>>>
HttpConnection::open(Executor On, Endpoint To, Duration Limit) {
  auto Made = std::make_shared<HttpConnection>(On);
  auto Work = [Made, To, Limit]() -> Awaitable<Status> {
    co_return co_await Made->connectOnStrand(To, Limit);
  };
  Status Connected = co_await asio::co_spawn(Made->Own->Peer.get_executor(),
                                             Work, asio::use_awaitable);
  if (!Connected)
    co_return Connected.error();
  co_return Made;
}

Awaitable<Status> HttpConnection::connectOnStrand(Endpoint To, Duration Limit) {
  ErrorCode Failure;
  tcp::endpoint Where(asio::ip::make_address(To.Address, Failure), To.Port);
  this->Own->Peer.expires_after(Limit);
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  if (!Failure)
    co_await this->Own->Peer.async_connect(Where, Token);
  if (Failure)
    co_return ended(ErrorKind::Unavailable, Failure);
  this->Own->Peer.socket().set_option(tcp::no_delay(true), Failure);
  this->Own->Usable = true;
  co_return std::monostate{};
}

Awaitable<Outcome<HttpReply>> HttpConnection::exchange(HttpRequest Request,
                                                       Duration Limit) {
  auto Self = this->shared_from_this();
  auto Shared = std::make_shared<HttpRequest>(std::move(Request));
  auto Work = [Self, Shared, Limit]() -> Awaitable<Outcome<HttpReply>> {
    co_return co_await Self->exchangeOnStrand(std::move(*Shared), Limit);
  };
  co_return co_await asio::co_spawn(this->Own->Peer.get_executor(), Work,
                                    asio::use_awaitable);
}

Awaitable<Outcome<HttpReply>>
HttpConnection::exchangeOnStrand(HttpRequest Request, Duration Limit) {
  State &S = *this->Own;
  // Marked unusable until the whole reply is in, so that a late reply can
  // never be taken for another request's.
  if (!S.Usable.exchange(false)) {
    ErrorCode Failure = asio::error::not_connected;
    co_return ended(ErrorKind::NotRun, Failure);
  }
  auto Message = makeMessage(std::move(Request));
  S.Peer.expires_after(Limit);
  ErrorCode Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  std::size_t Sent = co_await http::async_write(S.Peer, Message, Token);
  if (Failure) {
    S.Peer.close();
    co_return ended(Sent == 0 ? ErrorKind::NotRun : ErrorKind::OutcomeUnknown,
                    Failure);
  }
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaximumReply);
  auto ReadToken = asio::redirect_error(asio::use_awaitable, Failure);
  co_await http::async_read(S.Peer, S.Buffer, Parser, ReadToken);
  if (Failure) {
    S.Peer.close();
    co_return ended(ErrorKind::OutcomeUnknown, Failure);
  }
  auto Received = Parser.release();
  HttpReply Reply;
  Reply.Status = Received.result_int();
  Reply.Body = std::move(Received.body());
  if (Received.keep_alive())
    S.Usable = true;
  S.Peer.expires_never();
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
  co_return co_await asio::co_spawn(this->Own->Peer.get_executor(), Work,
                                    asio::use_awaitable);
}

Awaitable<Status>
HttpConnection::streamOnStrand(HttpRequest Request, Duration SilenceLimit,
                               std::function<bool(std::string_view)> OnLine) {
  State &S = *this->Own;
  S.Usable = false;
  auto Message = makeMessage(std::move(Request));
  S.Peer.expires_after(SilenceLimit);
  ErrorCode Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  co_await http::async_write(S.Peer, Message, Token);
  if (Failure)
    co_return ended(ErrorKind::Unavailable, Failure);
  http::response_parser<http::buffer_body> Parser;
  Parser.body_limit(boost::none);
  auto HeaderToken = asio::redirect_error(asio::use_awaitable, Failure);
  co_await http::async_read_header(S.Peer, S.Buffer, Parser, HeaderToken);
  std::string Pending;
  std::string Chunk(StreamChunk, '\0');
  while (!Failure && !Parser.is_done()) {
    Parser.get().body().data = Chunk.data();
    Parser.get().body().size = Chunk.size();
    S.Peer.expires_after(SilenceLimit);
    auto ReadToken = asio::redirect_error(asio::use_awaitable, Failure);
    co_await http::async_read_some(S.Peer, S.Buffer, Parser, ReadToken);
    if (Failure == http::error::need_buffer)
      Failure = {};
    Pending.append(Chunk, 0, Chunk.size() - Parser.get().body().size);
    std::size_t LineEnd = Pending.find('\n');
    while (LineEnd != std::string::npos) {
      if (!OnLine(std::string_view(Pending).substr(0, LineEnd))) {
        S.Peer.close();
        co_return std::monostate{};
      }
      Pending.erase(0, LineEnd + 1);
      LineEnd = Pending.find('\n');
    }
  }
  S.Peer.close();
  if (!Failure)
    Failure = asio::error::eof;
  co_return ended(ErrorKind::Unavailable, Failure);
}

} // namespace turmericpitch
