// A byte stream over TCP, with or without TLS, and with a timeout.
#pragma once

#include "drivers/Http.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <span>
#include <string_view>

namespace boost::asio::ssl {
class context;
} // namespace boost::asio::ssl

namespace turmericpitch {

/// The TLS configuration and keys of one side. Null for plain TCP.
using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

/// The byte stream of one connection. All operations run on the socket's
/// executor, which must be a strand. At most one read and one write may be
/// pending at a time.
class ByteStream {
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// Plain TCP if Tls is null.
  explicit ByteStream(Socket Connected, const TlsContext &Tls = nullptr);
  ~ByteStream();
  ByteStream(const ByteStream &) = delete;
  ByteStream &operator=(const ByteStream &) = delete;

  /// Connects an unconnected socket. Errors: Unavailable.
  Awaitable<Status> connect(Endpoint To);
  /// Performs the server side of the TLS handshake; does nothing for plain TCP.
  /// Errors: Unavailable.
  Awaitable<Status> acceptTls();
  /// Performs the client side of the TLS handshake; does nothing for plain TCP.
  /// Errors: Unavailable, also if the certificate isn't trusted.
  Awaitable<Status> connectTls();
  /// Waits until data can be read, without allocating a buffer. Returns
  /// immediately for TLS. Errors: Unavailable.
  Awaitable<Status> waitReadable();
  /// Reads at least one byte; 0 at the end of the stream. Errors:
  /// Unavailable.
  Awaitable<Outcome<std::size_t>> readSome(std::span<char> Into);
  /// Writes all bytes. Errors: NotRun if no byte was written, else
  /// OutcomeUnknown.
  Awaitable<Status> writeAll(std::string_view Bytes);

  /// Whether the peer has closed the connection or, for plain TCP, has sent
  /// unread bytes. Consumes no data. For idle connections, where no data is
  /// expected.
  [[nodiscard]] bool endedByPeer();

  /// Closes the stream after Timeout, unless the timeout is cleared or set
  /// again before.
  void setTimeout(Duration Timeout);
  void clearTimeout();
  /// Closes the connection; pending operations fail.
  void close();
  /// Whether the socket has received bytes that were not read yet.
  [[nodiscard]] bool hasUnread() const;
  [[nodiscard]] Executor executor() const;

private:
  enum class Side { Server, Client };
  Awaitable<Status> handshake(Side Which);

  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace turmericpitch
