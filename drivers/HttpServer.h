// HTTP/1.1 server on one address.
#pragma once

#include "drivers/ByteStream.h"
#include "drivers/Http.h"
#include "drivers/HttpMessages.h"

namespace turmericpitch {

/// Handles the requests of one connection, one at a time. Destroyed with the
/// connection.
using HttpHandler = std::function<Awaitable<HttpReply>(HttpRequest)>;
/// Creates the handler of a new connection.
using HttpHandlerFactory = std::function<HttpHandler()>;

/// Address, TLS settings and limits of a server.
struct HttpServerOptions {
  Endpoint Listen;
  HttpLimits Limits{};
  /// Returns the TLS context for a new connection; plain TCP if unset. Called
  /// for each connection, so that keys can be replaced at run time.
  std::function<TlsContext()> CurrentTls = nullptr;
  Duration HandshakeTimeout = std::chrono::seconds(10);
  /// Maximum time until the next request is completely read, and for writing
  /// a reply.
  Duration IdleTimeout = std::chrono::minutes(10);
  /// Maximum number of open connections; further ones are closed.
  std::size_t MaximumConnections = 20'000;
};

/// An HTTP server. Thread-safe. The destructor closes it.
class HttpServer {
public:
  HttpServer(Executor Exec, HttpServerOptions Options,
             HttpHandlerFactory MakeHandler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts to listen and accept connections. Errors: Unavailable if the
  /// address can't be bound.
  Status start();
  /// The listening port; chosen by the system if the configured port is 0.
  /// Precondition: start() succeeded and close() was not called.
  [[nodiscard]] std::uint16_t port() const;
  /// Closes each connection after its next reply, unless it is pinned by open
  /// work. New connections are still served.
  void drain();
  /// Like drain(), and also closes idle connections and rejects requests on
  /// new connections with NotRun.
  void rejectNewRequests();
  /// Like rejectNewRequests(), and also answers every open request: with
  /// NotRun if it was not completely read, else with OutcomeUnknown.
  void abortOpenRequests();
  /// Stops listening and closes all connections immediately.
  void close();

  /// Number of requests of which at least one byte was read and whose replies
  /// are not yet written. A streamed reply counts until its first chunk.
  [[nodiscard]] std::size_t requestsInFlight() const;
  /// Number of connections pinned by open work.
  [[nodiscard]] std::size_t pinnedConnections() const;
  /// Number of open connections.
  [[nodiscard]] std::size_t connections() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace turmericpitch
