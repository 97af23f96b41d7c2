// An instance of the system: builds its components and controls their lifetime.
#pragma once

#include "core/Error.h"
#include "main/DaemonSettings.h"

#include <memory>

namespace turmericpitch {

/// Owns the components and worker threads of one instance. The threads run
/// between start() and stop(). Thread-safe.
class Daemon {
public:
  explicit Daemon(DaemonSettings Settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Opens the servers and starts the worker threads. Errors: Unavailable if
  /// an address can't be bound, BadRequest if the TLS keys are invalid.
  Status start();
  /// Reloads the TLS keys from their files. On an error, the current keys stay
  /// in use. Errors: BadRequest if the new keys are invalid.
  Status reloadKeys();
  /// Starts a drain: the readiness check fails, peers are notified, and new
  /// work is rejected once the load balancer has had time to notice; see
  /// DrainController. Precondition for this and the three methods below:
  /// start() succeeded.
  void beginDrain();
  /// Forces the end of the drain: requests in flight are answered with their
  /// known outcome.
  void endDrain();
  /// Whether a drain has begun, by beginDrain() or because the instance is
  /// marked as leaving.
  [[nodiscard]] bool draining() const;
  /// Whether the drain has ended.
  [[nodiscard]] bool drained() const;
  /// Stops all components at once and joins the worker threads.
  void stop();

private:
  struct Components;
  std::unique_ptr<Components> Impl;
};

} // namespace turmericpitch
