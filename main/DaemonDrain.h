// Carries out an instance's drain.
#pragma once

#include "drivers/CallerApi.h"
#include "drivers/HttpServer.h"
#include "drivers/MembershipExchange.h"
#include "membership/DrainController.h"

#include <atomic>
#include <mutex>

namespace turmericpitch {

/// The parts that a drain acts on.
struct DaemonDrainComponents {
  std::shared_ptr<CallerApi> Callers;
  std::shared_ptr<HttpServer> CallerServer;
  std::shared_ptr<MembershipController> Members;
  std::shared_ptr<MembershipExchange> Exchange;
};

/// Asks the drain's controller what is due and does it. Thread-safe.
class DaemonDrain {
public:
  DaemonDrain(DrainOptions Options, DaemonDrainComponents Components);

  /// The readiness check says no from here on; ignored if already draining.
  void begin(DrainReason Reason);
  /// Ends what still runs, with true outcomes.
  void end();
  /// Carries out the steps, and begins a drain once this instance is marked
  /// as leaving. Runs until stop().
  Awaitable<void> run();
  void stop() { this->Stopping = true; }

  [[nodiscard]] bool draining() const;
  /// Whether the last step is done.
  [[nodiscard]] bool drained() const { return this->Drained; }

private:
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
