// One instance of the system, put together from the parts.
#pragma once

#include "core/Error.h"
#include "main/DaemonSettings.h"

#include <memory>

namespace turmericpitch {

/// Thread-safe. Runs its own threads between start() and stop().
class Daemon {
public:
  explicit Daemon(DaemonSettings Settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Errors: Unavailable if an address can't be bound, BadRequest if the
  /// TLS keys can't be used.
  Status start();
  /// Reads the TLS keys again; on an error the present ones stay. Errors:
  /// BadRequest.
  Status reloadKeys();
  /// The readiness check says no, peers learn it, and once the balancer has
  /// noticed new work is refused; see DrainController. Precondition for this
  /// and the three below: start() succeeded.
  void beginDrain();
  /// Answers what still runs with what is known of its outcome.
  void endDrain();
  /// Whether a drain is under way, also one that a leaving mark began.
  [[nodiscard]] bool draining() const;
  /// Whether the drain is over.
  [[nodiscard]] bool drained() const;
  /// Ends everything at once.
  void stop();

private:
  struct Components;
  std::unique_ptr<Components> Impl;
};

} // namespace turmericpitch
