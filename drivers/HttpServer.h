// Serves HTTP/1.1 on one address.
#pragma once

#include "drivers/ByteStream.h"
#include "drivers/Http.h"
#include "drivers/HttpMessages.h"

namespace turmericpitch {

/// Handles the requests of one connection, one at a time. What it captures
/// lives as long as the connection.
using HttpHandler = std::function<Awaitable<HttpReply>(HttpRequest)>;
/// Makes the handler of a new connection.
using HttpHandlerFactory = std::function<HttpHandler()>;

/// Limits of one server.
struct HttpServerOptions {
  Endpoint Listen;
  HttpLimits Limits{};
  /// The TLS of new connections; not set means plain TCP. Called for each
  /// connection, so that keys can be exchanged while serving.
  std::function<TlsContext()> CurrentTls = nullptr;
  Duration HandshakeTimeout = std::chrono::seconds(10);
  /// How long a connection may stay silent between requests.
  Duration IdleTimeout = std::chrono::minutes(10);
  /// Connections held at once; further ones are closed.
  std::size_t MaximumConnections = 20'000;
};

/// A server. Thread-safe. Destruction closes it.
class HttpServer {
public:
  HttpServer(Executor Exec, HttpServerOptions Options,
             HttpHandlerFactory MakeHandler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens and begins to accept. Errors: Unavailable if the address can't
  /// be bound.
  Status start();
  /// The port listened on, which the system chose if the options gave 0.
  /// Precondition: start() succeeded and close() was not called.
  [[nodiscard]] std::uint16_t port() const;
  /// Each connection ends after the reply to its next request, unless it
  /// holds open work. New connections are still served.
  void drain();
  /// Beyond drain(), closes connections on which nothing of a request has
  /// come, and refuses requests on new connections as not run.
  void rejectNewRequests();
  /// Beyond rejectNewRequests(), answers every open request: as not run if it
  /// was not read whole, else as of unknown outcome.
  void abortOpenRequests();
  /// Closes everything at once.
  void close();

  /// Requests of which a byte was read and whose replies are not yet
  /// written; streamed replies count until their first piece.
  [[nodiscard]] std::size_t requestsInFlight() const;
  /// Connections that hold open work.
  [[nodiscard]] std::size_t pinnedConnections() const;
  [[nodiscard]] std::size_t connections() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace turmericpitch
