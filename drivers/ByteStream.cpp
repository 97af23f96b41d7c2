#include "drivers/ByteStream.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <variant>

namespace turmericpitch {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using ErrorCode = boost::system::error_code;
using TlsStream = asio::ssl::stream<tcp::socket>;

Error connectionError(ErrorKind Kind, const ErrorCode &Failure) {
  return {.Kind = Kind,
          .Message = "connection failed: " + Failure.message(),
          .Remedy =
              Kind == ErrorKind::OutcomeUnknown
                  ? "check whether it was executed before sending it again"
                  : "send it again"};
}

} // namespace

struct ByteStream::State : std::enable_shared_from_this<State> {
  explicit State(Socket Connected)
      : Timer(Connected.get_executor()), Channel(std::move(Connected)) {}
  State(Socket Connected, TlsContext Tls)
      : Tls(std::move(Tls)), Timer(Connected.get_executor()),
        Channel(std::in_place_type<TlsStream>, std::move(Connected),
                *this->Tls) {}

  Socket &socket() {
    if (auto *Plain = std::get_if<Socket>(&this->Channel))
      return *Plain;
    return std::get<TlsStream>(this->Channel).next_layer();
  }

  // Keeps the TLS context alive as long as the stream uses it.
  TlsContext Tls;
  asio::steady_timer Timer;
  std::variant<Socket, TlsStream> Channel;
};

ByteStream::ByteStream(Socket Connected, const TlsContext &Tls)
    : Shared(Tls ? std::make_shared<State>(std::move(Connected), Tls)
                 : std::make_shared<State>(std::move(Connected))) {}

ByteStream::~ByteStream() {
  this->Shared->Timer.cancel();
  this->close();
}

Awaitable<Status> ByteStream::connect(Endpoint To) {
  ErrorCode Failure;
  tcp::endpoint Where(asio::ip::make_address(To.Address, Failure), To.Port);
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  if (!Failure)
    co_await this->Shared->socket().async_connect(Where, Token);
  if (Failure)
    co_return connectionError(ErrorKind::Unavailable, Failure);
  this->Shared->socket().set_option(tcp::no_delay(true), Failure);
  co_return std::monostate{};
}

Awaitable<Status> ByteStream::acceptTls() {
  return this->handshake(Side::Server);
}

Awaitable<Status> ByteStream::connectTls() {
  return this->handshake(Side::Client);
}

Awaitable<Status> ByteStream::handshake(Side Which) {
  auto *Encrypted = std::get_if<TlsStream>(&this->Shared->Channel);
  if (!Encrypted)
    co_return std::monostate{};
  ErrorCode Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  auto Role = Which == Side::Server ? asio::ssl::stream_base::server
                                    : asio::ssl::stream_base::client;
  co_await Encrypted->async_handshake(Role, Token);
  if (Failure)
    co_return connectionError(ErrorKind::Unavailable, Failure);
  co_return std::monostate{};
}

Awaitable<Status> ByteStream::waitReadable() {
  // The TLS layer may have buffered bytes that the socket doesn't report.
  bool Plain = std::holds_alternative<Socket>(this->Shared->Channel);
  if (!Plain || this->hasUnread())
    co_return std::monostate{};
  ErrorCode Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  co_await this->Shared->socket().async_wait(tcp::socket::wait_read, Token);
  if (Failure)
    co_return connectionError(ErrorKind::Unavailable, Failure);
  co_return std::monostate{};
}

Awaitable<Outcome<std::size_t>> ByteStream::readSome(std::span<char> Into) {
  ErrorCode Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  auto Buffer = asio::buffer(Into.data(), Into.size());
  std::size_t Count = 0;
  if (auto *Plain = std::get_if<Socket>(&this->Shared->Channel))
    Count = co_await Plain->async_read_some(Buffer, Token);
  else
    Count = co_await std::get<TlsStream>(this->Shared->Channel)
                .async_read_some(Buffer, Token);
  bool Ended = Failure == asio::error::eof ||
               Failure == asio::ssl::error::stream_truncated;
  if (Failure && !Ended)
    co_return connectionError(ErrorKind::Unavailable, Failure);
  co_return Count;
}

Awaitable<Status> ByteStream::writeAll(std::string_view Bytes) {
  ErrorCode Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  auto Buffer = asio::buffer(Bytes.data(), Bytes.size());
  std::size_t Count = 0;
  if (auto *Plain = std::get_if<Socket>(&this->Shared->Channel))
    Count = co_await asio::async_write(*Plain, Buffer, Token);
  else
    Count = co_await asio::async_write(
        std::get<TlsStream>(this->Shared->Channel), Buffer, Token);
  if (Failure)
    co_return connectionError(
        Count == 0 ? ErrorKind::NotRun : ErrorKind::OutcomeUnknown, Failure);
  co_return std::monostate{};
}

bool ByteStream::endedByPeer() {
  char Byte = 0;
  auto Count = ::recv(this->Shared->socket().native_handle(), &Byte, 1,
                      MSG_PEEK | MSG_DONTWAIT);
  if (Count == 0)
    return true;
  // With TLS, the unread bytes may be control messages.
  bool Plain = std::holds_alternative<Socket>(this->Shared->Channel);
  if (Count > 0)
    return Plain;
  return errno != EAGAIN && errno != EWOULDBLOCK;
}

void ByteStream::setTimeout(Duration Timeout) {
  this->Shared->Timer.expires_after(Timeout);
  this->Shared->Timer.async_wait(
      [Weak = std::weak_ptr<State>(this->Shared)](const ErrorCode &Cancelled) {
        auto Self = Weak.lock();
        if (Cancelled || !Self)
          return;
        // Another timeout was set after this one had expired.
        if (Self->Timer.expiry() > std::chrono::steady_clock::now())
          return;
        ErrorCode Ignored;
        Self->socket().close(Ignored);
      });
}

void ByteStream::clearTimeout() { this->Shared->Timer.cancel(); }

void ByteStream::close() {
  ErrorCode Ignored;
  this->Shared->socket().shutdown(tcp::socket::shutdown_both, Ignored);
  this->Shared->socket().close(Ignored);
}

bool ByteStream::hasUnread() const {
  ErrorCode Failure;
  std::size_t Count = this->Shared->socket().available(Failure);
  return !Failure && Count > 0;
}

Executor ByteStream::executor() const {
  return this->Shared->Timer.get_executor();
}

} // namespace turmericpitch
