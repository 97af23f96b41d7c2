// A byte stream over TCP, with or without TLS, under a time limit.
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

/// The keys and rules of one side's TLS.
using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

/// One connection's bytes. Every operation runs on the socket's executor,
/// which must be a strand. Read and write may not overlap with themselves.
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
  /// Runs the server's side of the TLS handshake; nothing to do for plain
  /// TCP. Errors: Unavailable.
  Awaitable<Status> acceptTls();
  /// Runs the client's side; nothing to do for plain TCP. Errors:
  /// Unavailable, also if the certificate isn't trusted.
  Awaitable<Status> connectTls();
  /// Waits until something can be read, without a buffer for it; returns at
  /// once for TLS. Errors: Unavailable.
  Awaitable<Status> waitReadable();
  /// Reads at least one byte; 0 at the end of the stream. Errors:
  /// Unavailable.
  Awaitable<Outcome<std::size_t>> readSome(std::span<char> Into);
  /// Writes everything. Errors: NotRun if no byte was written, else
  /// OutcomeUnknown.
  Awaitable<Status> writeAll(std::string_view Bytes);

  /// Whether the peer has ended the connection, or has sent bytes of plain
  /// TCP that nobody asked for. Reads nothing.
  [[nodiscard]] bool endedByPeer();

  /// Closes the stream unless another limit is set before this one runs out.
  void setTimeout(Duration Timeout);
  void clearTimeout();
  /// Ends every operation under way.
  void close();
  /// Whether bytes have arrived that were not read.
  [[nodiscard]] bool hasUnread() const;
  [[nodiscard]] Executor executor() const;

private:
  enum class Side { Server, Client };
  Awaitable<Status> handshake(Side Which);

  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace turmericpitch
