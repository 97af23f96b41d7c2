// Client of the platform's key-value service over the etcd v3 JSON gateway.
#pragma once

#include "core/KeyValue.h"
#include "drivers/HttpClient.h"

#include <atomic>

namespace turmericpitch {

struct PlatformClientOptions {
  Endpoint Platform;
  /// Timeout of one call, apart from connecting.
  Duration CallTimeout = std::chrono::seconds(2);
  Duration ConnectTimeout = std::chrono::seconds(1);
  /// A watch ends after this long without events.
  Duration WatchIdleTimeout = std::chrono::minutes(10);
};

/// Sends calls to the key-value service and watches keys. Thread-safe.
class PlatformClient {
public:
  PlatformClient(Executor Exec, PlatformClientOptions Options);

  /// Sends one request and waits for its answer. Errors: NotRun or Unavailable
  /// if the request was not sent, OutcomeUnknown if no answer arrived, and
  /// errors that the service reports.
  Awaitable<Outcome<KeyValueAnswer>> call(KeyValueRequest Request);

  /// Passes each batch of changes after a revision to OnBatch until OnBatch
  /// returns false. Errors: Unavailable if the watch ended for another
  /// reason.
  Awaitable<Status> watch(std::string Prefix, Revision After,
                          std::function<bool(const WatchBatch &)> OnBatch);

  /// Number of calls since the client was created; each watch counts once.
  [[nodiscard]] std::uint64_t calls() const {
    return this->Client.calls() + this->Watches;
  }

private:
  Executor Exec;
  PlatformClientOptions Options;
  HttpClient Client;
  std::atomic<std::uint64_t> Watches = 0;
};

} // namespace turmericpitch
