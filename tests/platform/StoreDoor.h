// An address of the stand-in store for one instance, with faults of its own.
#pragma once

#include "tests/platform/RevisionStore.h"

#include <boost/asio/steady_timer.hpp>

namespace turmericpitch {

/// Passes the requests of one instance to a store, or turns them away. Must be
/// used on one thread's executor only.
class StoreDoor {
public:
  StoreDoor(Executor Exec, Endpoint Listen, RevisionStore &Store);

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  [[nodiscard]] std::uint16_t port() const { return this->Server.port(); }
  /// Requests on connections that are open now get no further reply, while new
  /// connections work.
  void silenceConnections() { ++this->Generation; }
  /// While set, no request gets a reply.
  void setSilent(bool Silent) { this->Silent = Silent; }
  /// While set, replies to each request with status 503.
  void setUnavailable(bool Unavailable) { this->Unavailable = Unavailable; }
  /// Number of renewals of the instance's registration that have arrived.
  [[nodiscard]] std::uint64_t renewals() const { return this->Renewals; }
  /// Number of listings of the primary records that have arrived.
  [[nodiscard]] std::uint64_t recordListings() const {
    return this->RecordListings;
  }

  /// Number of requests that were replied to with status 503.
  [[nodiscard]] std::uint64_t refusals() const { return this->Refusals; }

private:
  Awaitable<HttpReply> handle(HttpRequest Request, std::uint64_t Opened);

  Executor Exec;
  RevisionStore &Store;
  HttpServer Server;
  std::uint64_t Generation = 0;
  bool Silent = false;
  bool Unavailable = false;
  std::uint64_t Renewals = 0;
  std::uint64_t RecordListings = 0;
  std::uint64_t Refusals = 0;
};

} // namespace turmericpitch
