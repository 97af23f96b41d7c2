// Client side of an HTTP/1.1 connection.
#pragma once

#include "drivers/ByteStream.h"
#include "drivers/Http.h"

namespace turmericpitch {

/// The time that a reply may take of which so much has arrived. One that
/// arrives at 1 Mbit/s or more isn't cut off: it would be asked for again, on a
/// link that is busy already. Pure; thread-safe.
Duration replyTimeout(Duration Timeout, std::size_t ReceivedBytes);

/// A keep-alive connection. Thread-safe. Carries one exchange at a time: a
/// second concurrent exchange fails immediately with NotRun.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// Opens a connection, with TLS if a context is given. Errors: Unavailable.
  static Awaitable<Outcome<std::shared_ptr<HttpConnection>>>
  open(Executor Exec, Endpoint To, Duration Timeout, TlsContext Tls = nullptr);

  explicit HttpConnection(Executor Exec, const TlsContext &Tls = nullptr);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends a request and waits for the reply, which may take Timeout and longer
  /// the longer it is, see replyTimeout(). Errors: NotRun if nothing was
  /// sent, OutcomeUnknown if no complete reply arrived. The connection is not
  /// usable after an error.
  Awaitable<Outcome<HttpReply>> exchange(HttpRequest Request, Duration Timeout);

  /// Sends a request and passes each line of the streamed reply to OnLine
  /// until OnLine returns false, the peer ends the stream, or nothing arrives
  /// for IdleTimeout. Errors: Unavailable if the stream ended for any reason
  /// other than OnLine returning false.
  Awaitable<Status> stream(HttpRequest Request, Duration IdleTimeout,
                           std::function<bool(std::string_view)> OnLine);

  /// Whether another exchange can be started.
  [[nodiscard]] bool usable() const;
  /// Closes the connection and aborts any exchange in progress.
  void close();

private:
  struct State;
  Awaitable<Outcome<HttpReply>> exchangeOnStrand(HttpRequest Request,
                                                 Duration Timeout);
  Awaitable<Status>
  streamOnStrand(HttpRequest Request, Duration IdleTimeout,
                 std::function<bool(std::string_view)> OnLine);
  Awaitable<Status> connectOnStrand(Endpoint To, Duration Timeout);

  std::unique_ptr<State> Impl;
};

} // namespace turmericpitch
