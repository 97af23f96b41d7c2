// Shuts an instance down without aborting requests in flight.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace turmericpitch {

/// Why an instance stops accepting work.
enum class DrainReason {
  Signal,
  /// The platform's instance list, or a peer that read it, marks the instance
  /// as leaving.
  MarkedLeaving,
};

/// The reason's stable name. Thread-safe.
std::string_view toString(DrainReason Reason);

enum class DrainStep {
  Serving,
  /// The readiness check fails, but requests are still served because the
  /// load balancer may not have noticed yet.
  AwaitingBalancer,
  /// New requests are refused as not run; requests in flight complete.
  RejectingNewWork,
  /// Requests in flight are answered at once with their known outcome.
  ForcedEnd,
  Ended,
};

/// The step's stable name. Thread-safe.
std::string_view toString(DrainStep Step);

struct DrainOptions {
  /// Time the load balancer takes to notice the failed readiness check.
  Duration BalancerNotice = std::chrono::milliseconds(1500);
  /// Longest drain before the end is forced. Transactions reach their
  /// deadlines well before.
  Duration Timeout = std::chrono::seconds(30);
  /// Time allowed for writing the last responses.
  Duration ForcedEndTimeout = std::chrono::seconds(1);

  auto operator<=>(const DrainOptions &) const = default;
};

/// Work still in progress.
struct DrainWork {
  /// Requests being read, executed or answered.
  std::size_t Requests = 0;
  /// Connections with an open transaction.
  std::size_t Transactions = 0;

  auto operator<=>(const DrainWork &) const = default;
};

/// State machine of one drain. Performs no I/O; not thread-safe.
class DrainController {
public:
  explicit DrainController(DrainOptions Options) : Options(Options) {}

  /// Starts the drain; further calls have no effect.
  void beginDrain(DrainReason Reason, TimePoint Now);
  /// Forces the end at once, as on a second signal.
  void forceEnd(TimePoint Now);
  /// Advances to the step that is due at Now and returns it. Steps never go
  /// back.
  DrainStep update(const DrainWork &Work, TimePoint Now);

  [[nodiscard]] DrainStep step() const { return this->Step; }
  [[nodiscard]] bool ready() const { return this->Step == DrainStep::Serving; }
  [[nodiscard]] std::optional<DrainReason> reason() const {
    return this->Reason;
  }
  /// Whether all work completed without a forced end. Precondition: step() is
  /// Ended.
  [[nodiscard]] bool completedCleanly() const { return !this->Interrupted; }

private:
  void moveTo(DrainStep Next, TimePoint Now);

  DrainOptions Options;
  DrainStep Step = DrainStep::Serving;
  std::optional<DrainReason> Reason;
  TimePoint DrainStartedAt{};
  TimePoint ForcedEndStartedAt{};
  bool Interrupted = false;
};

} // namespace turmericpitch
