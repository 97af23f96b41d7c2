// Calls one HTTP service over kept-alive connections.
#pragma once

#include "drivers/HttpConnection.h"

#include <mutex>
#include <vector>

namespace turmericpitch {

struct HttpClientOptions {
  Endpoint Service;
  /// Idle connections kept.
  std::size_t MaxIdle = 4;
  Duration ConnectTimeout = std::chrono::seconds(1);
};

/// Thread-safe.
class HttpClient {
public:
  HttpClient(Executor Exec, HttpClientOptions Options);

  /// Sends on an idle connection or a new one. Errors: NotRun or Unavailable
  /// if nothing was sent, OutcomeUnknown if the reply did not come. If
  /// ShouldSend is given, it is asked on a new connection right before the
  /// request is sent, and the request isn't sent if it says no.
  Awaitable<Outcome<HttpReply>>
  call(HttpRequest Request, Duration Timeout,
       std::function<bool()> ShouldSend = nullptr);
  /// Calls made since the start.
  [[nodiscard]] std::uint64_t calls() const;

private:
  std::shared_ptr<HttpConnection> acquireIdle();
  void release(std::shared_ptr<HttpConnection> Connection);

  Executor Exec;
  HttpClientOptions Options;
  mutable std::mutex Mutex;
  std::vector<std::shared_ptr<HttpConnection>> Idle;
  std::uint64_t Calls = 0;
};

} // namespace turmericpitch
