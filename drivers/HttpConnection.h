// A client's HTTP/1.1 connection.
#pragma once

#include "drivers/ByteStream.h"
#include "drivers/Http.h"

namespace turmericpitch {

/// One kept-alive connection. Thread-safe, but carries one exchange at a
/// time: a second one waits for no reply and fails.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// Connects, with TLS if its context is given. Errors: Unavailable.
  static Awaitable<Outcome<std::shared_ptr<HttpConnection>>>
  open(Executor Exec, Endpoint To, Duration Timeout, TlsContext Tls = nullptr);

  explicit HttpConnection(Executor Exec, const TlsContext &Tls = nullptr);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends and awaits the reply. Errors: NotRun if nothing was sent,
  /// OutcomeUnknown if the reply did not come; either way the connection is
  /// of no further use.
  Awaitable<Outcome<HttpReply>> exchange(HttpRequest Request, Duration Timeout);

  /// Sends and hands each line of the streamed reply to OnLine until that
  /// returns false, the peer ends it or nothing comes for SilenceLimit.
  /// Errors: Unavailable when it ended other than by OnLine.
  Awaitable<Status> stream(HttpRequest Request, Duration IdleTimeout,
                           std::function<bool(std::string_view)> OnLine);

  /// Whether a further exchange may be tried.
  [[nodiscard]] bool usable() const;
  /// Ends any exchange under way.
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
