// A TCP connection that transfers text lines.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"
#include "core/Time.h"
#include "limits/MemoryBudget.h"
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
  /// Counts the buffered bytes, which end the connection if they aren't
  /// granted. Null if they aren't counted.
  std::shared_ptr<MemoryShare> Memory = nullptr;
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
  using DrainHandler = std::function<void()>;

  LineConnection(Socket Connected, LineConnectionOptions Options);
  ~LineConnection();
  LineConnection(const LineConnection &) = delete;
  LineConnection &operator=(const LineConnection &) = delete;

  /// Starts reading. Call once.
  void start(LineHandler OnLine, EndHandler OnEnd);
  /// Sends without blocking. Bytes that the socket doesn't accept yet are
  /// buffered.
  void send(const ProtocolLines &Lines);
  /// Called each time that buffered bytes have all been passed to the socket.
  void onDrained(DrainHandler Handle) { this->Drained = std::move(Handle); }
  /// Bytes that the socket hasn't accepted yet.
  [[nodiscard]] std::size_t unsent() const { return this->Unsent.size(); }
  /// Stops reading, so that the peer can't send more than the system buffers.
  /// Lines that were already read are still delivered. While paused, the end of
  /// the connection is detected only when something is sent.
  void pauseReading() { this->ReadingPaused = true; }
  void resumeReading();
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
  /// Ends the connection after the current function has returned.
  void postEnd(std::string Reason);
  /// Whether this many bytes may be buffered for Kind.
  [[nodiscard]] bool mayBuffer(SessionMemory Kind, std::size_t Bytes);

  Socket Stream;
  LineConnectionOptions Options;
  LineHandler OnLine;
  EndHandler OnEnd;
  DrainHandler Drained;
  /// The received part of an incomplete line.
  std::string Partial;
  /// Bytes that the socket has not accepted yet.
  std::string Unsent;
  bool Writing = false;
  bool Finishing = false;
  bool ReadingPaused = false;
  /// waitForBytes() has been called and has not completed.
  bool WaitingForBytes = false;
};

/// Sets the socket options for connections of the proxy: no delay for small
/// writes, and detection of peers that have become unreachable. Thread-safe.
void prepareSocket(boost::asio::ip::tcp::socket &Connected,
                   Duration PeerTimeout);

} // namespace turmericpitch
