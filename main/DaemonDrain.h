// Drains an instance before it stops.
#pragma once

#include "drivers/CallerApi.h"
#include "drivers/HttpServer.h"
#include "drivers/MembershipExchange.h"
#include "membership/DrainController.h"

#include <atomic>
#include <mutex>

namespace turmericpitch {

/// The components that a drain acts on.
struct DaemonDrainComponents {
  std::shared_ptr<CallerApi> Callers;
  std::shared_ptr<HttpServer> CallerServer;
  std::shared_ptr<MembershipController> Members;
  std::shared_ptr<MembershipExchange> Exchange;
};

/// Executes the steps that the DrainController returns. Thread-safe.
class DaemonDrain {
public:
  DaemonDrain(DrainOptions Options, DaemonDrainComponents Components);

  /// Starts the drain: from now on the readiness check fails. Has no effect
  /// if a drain has already begun.
  void begin(DrainReason Reason);
  /// Forces the end of the drain: requests in flight are answered with their
  /// known outcome.
  void end();
  /// Executes the steps, and starts a drain once this instance is marked as
  /// leaving. Runs until stop() is called.
  Awaitable<void> run();
  void stop() { this->Stopping = true; }

  [[nodiscard]] bool draining() const;
  /// Whether the last step has been executed.
  [[nodiscard]] bool drained() const { return this->Drained; }

private:
  /// Advances the controller and returns the step that is due.
  DrainStep updateStep();
  void executeStep(DrainStep Step);

  DaemonDrainComponents Components;
  mutable std::mutex Mutex;
  DrainController Controller;
  std::atomic<bool> Drained = false;
  std::atomic<bool> Stopping = false;
  MonotonicClock Time;
};

} // namespace turmericpitch
