// A TCP connection that transfers text lines.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"
#include "core/Time.h"
#include "session/ProtocolLines.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace turmericpitch {

struct LineConnectionOptions {
  /// The connection is closed on a line longer than this, in bytes.
  std::size_t MaxLineSize = 1024 * 1024;
  /// The operating system closes the connection if sent data stays
  /// unacknowledged for this long, or if an idle peer doesn't answer keep-alive
  /// probes for about as long.
  Duration PeerTimeout = std::chrono::seconds(3);
};

/// Sends and receives lines terminated by CR LF. A line that ends in LF alone
/// is delivered with it, so that its decoder refuses it. Uses no buffer while
/// idle. Not thread-safe: use only on the thread of the socket's executor.
/// Handlers run on that executor, never from within a call to this class.
class LineConnection : public std::enable_shared_from_this<LineConnection> {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using LineHandler = std::function<void(std::string_view)>;
  /// Called once when the connection has ended, unless close() or finish()
  /// closed it.
  using EndHandler = std::function<void(const std::string &Reason)>;

  LineConnection(Socket Connected, LineConnectionOptions Options);
  ~LineConnection();
  LineConnection(const LineConnection &) = delete;
  LineConnection &operator=(const LineConnection &) = delete;

  /// Starts reading. Call once.
  void start(LineHandler OnLine, EndHandler OnEnd);
  /// Sends without blocking. Bytes that the socket doesn't accept yet are
  /// buffered.
  void send(const ProtocolLines &Lines);
  /// Closes the connection once all sent bytes were passed to the socket.
  void finish();
  /// Closes the connection immediately; no handler is called.
  void close();
  [[nodiscard]] bool open() const { return this->Stream.is_open(); }

private:
  void waitForBytes();
  void readBytes();
  void deliverLines(std::string_view Bytes);
  void writeUnsent();
  void end(const std::string &Reason);

  Socket Stream;
  LineConnectionOptions Options;
  LineHandler OnLine;
  EndHandler OnEnd;
  /// The received part of an incomplete line.
  std::string Partial;
  /// Bytes that the socket has not accepted yet.
  std::string Unsent;
  bool Writing = false;
  bool Finishing = false;
};

/// Sets the socket options for connections of the proxy: no delay for small
/// writes, and detection of peers that have become unreachable. Thread-safe.
void prepareSocket(boost::asio::ip::tcp::socket &Connected,
                   Duration PeerTimeout);

} // namespace turmericpitch
