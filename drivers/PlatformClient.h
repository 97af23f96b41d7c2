// The platform's key-value service over the etcd v3 JSON gateway.
#pragma once

#include "core/KeyValue.h"
#include "drivers/HttpClient.h"

#include <atomic>

namespace turmericpitch {

struct PlatformClientOptions {
  Endpoint Platform;
  /// Limit for one call.
  Duration CallTimeout = std::chrono::seconds(2);
  Duration ConnectTimeout = std::chrono::seconds(1);
  /// A silent watch is renewed after this long.
  Duration WatchIdleTimeout = std::chrono::minutes(10);
};

/// Calls and watches. Thread-safe.
class PlatformClient {
public:
  PlatformClient(Executor Exec, PlatformClientOptions Options);

  /// Errors: Unavailable if the call was not taken, OutcomeUnknown if its
  /// answer was lost.
  Awaitable<Outcome<KeyValueAnswer>> call(KeyValueRequest Request);

  /// Hands each batch after a revision to OnBatch, until that returns false.
  /// Errors: Unavailable when the watch ended otherwise.
  Awaitable<Status> watch(std::string Prefix, Revision After,
                          std::function<bool(const WatchBatch &)> OnBatch);

  /// Calls made since the start, each watch counted once.
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
