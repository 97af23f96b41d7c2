// HTTP client for one service with a pool of keep-alive connections.
#pragma once

#include "drivers/HttpConnection.h"

#include <mutex>
#include <vector>

namespace turmericpitch {

struct HttpClientOptions {
  Endpoint Service;
  /// Maximum number of idle connections in the pool.
  std::size_t MaxIdle = 4;
  Duration ConnectTimeout = std::chrono::seconds(1);
};

/// Sends requests to one HTTP service. Thread-safe.
class HttpClient {
public:
  HttpClient(Executor Exec, HttpClientOptions Options);

  /// Sends a request on an idle or a new connection and waits for the reply.
  /// Errors: NotRun or Unavailable if nothing was sent, OutcomeUnknown if no
  /// complete reply arrived within the timeout. If ShouldSend is set, the
  /// request uses a new connection, ShouldSend is called immediately before
  /// the request is sent, and the call fails with NotRun if it returns false.
  Awaitable<Outcome<HttpReply>>
  call(HttpRequest Request, Duration Timeout,
       std::function<bool()> ShouldSend = nullptr);
  /// Number of calls since the client was created.
  [[nodiscard]] std::uint64_t calls() const;

private:
  std::shared_ptr<HttpConnection> acquireIdle();
  void release(std::shared_ptr<HttpConnection> Connection);
  /// Closes the idle connections after an exchange failed: what silenced or
  /// broke that one may have struck them, too, and each would cost a timeout.
  void closeIdle();

  Executor Exec;
  HttpClientOptions Options;
  mutable std::mutex Mutex;
  std::vector<std::shared_ptr<HttpConnection>> Idle;
  std::uint64_t Calls = 0;
};

} // namespace turmericpitch
