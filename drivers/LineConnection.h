// A TCP connection that carries lines.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"
#include "core/Time.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace turmericpitch {

struct LineConnectionOptions {
  /// A longer line ends the connection.
  std::size_t MaxLineSize = 1024 * 1024;
  /// The system ends the connection when bytes stay unacknowledged for this
  /// long, or an idle peer leaves probes unanswered for about as long.
  Duration PeerTimeout = std::chrono::seconds(3);
};

/// Lines in both directions, ended by CR LF or LF. Holds no buffer while
/// idle. Belongs to one thread's executor; callbacks run on it, never from
/// within a call of the owner.
class LineConnection : public std::enable_shared_from_this<LineConnection> {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using LineHandler = std::function<void(std::string_view)>;
  /// Called once when the connection has ended other than by close().
  using EndHandler = std::function<void(const std::string &Reason)>;

  LineConnection(Socket Connected, LineConnectionOptions Options);
  ~LineConnection();
  LineConnection(const LineConnection &) = delete;
  LineConnection &operator=(const LineConnection &) = delete;

  /// Begins to read. Call once.
  void start(LineHandler OnLine, EndHandler OnEnd);
  /// Sends without waiting; what the socket doesn't take is kept.
  void send(std::string Bytes);
  /// Ends the connection once what was sent is with the system.
  void finish();
  /// Ends the connection at once; no callback follows.
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
  /// The beginning of a line whose end has not come.
  std::string Partial;
  /// Bytes that the socket has not taken.
  std::string Unsent;
  bool Writing = false;
  bool Finishing = false;
};

/// Sets what every connection of the proxy needs: no delay for small writes,
/// and an end to peers that have vanished. Thread-safe.
void prepareSocket(boost::asio::ip::tcp::socket &Connected,
                   Duration PeerTimeout);

} // namespace turmericpitch
