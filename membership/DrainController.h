// How an instance ends without cutting off a request.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace turmericpitch {

/// Why an instance takes no more work.
enum class DrainReason {
  Signal,
  /// The platform's list, or a peer that read it, marks it as leaving.
  MarkedLeaving,
};

/// The reason's stable name. Thread-safe.
std::string_view toString(DrainReason Reason);

enum class DrainStep {
  Serving,
  /// Not ready, yet all that arrives is served, as the balancer has not
  /// noticed yet.
  AwaitingBalancer,
  /// New work is refused as not run; what runs ends whole.
  RejectingNewWork,
  /// Whatever still runs is answered with what is known of its outcome.
  ForcedEnd,
  Ended,
};

/// The step's stable name. Thread-safe.
std::string_view toString(DrainStep Step);

struct DrainOptions {
  /// How long the balancer takes to notice the readiness check.
  Duration BalancerNotice = std::chrono::milliseconds(1500);
  /// Longest drain. Transactions end by their deadlines well before.
  Duration Timeout = std::chrono::seconds(30);
  /// How long the last answers may take to be written.
  Duration ForcedEndTimeout = std::chrono::seconds(1);

  auto operator<=>(const DrainOptions &) const = default;
};

/// What is still under way.
struct DrainWork {
  /// Requests being read, run or answered.
  std::size_t Requests = 0;
  /// Connections with an open transaction.
  std::size_t Transactions = 0;

  auto operator<=>(const DrainWork &) const = default;
};

/// The course of one drain. Pure; not thread-safe.
class DrainController {
public:
  explicit DrainController(DrainOptions Options) : Options(Options) {}

  /// Begins the drain; further calls change nothing.
  void beginDrain(DrainReason Reason, TimePoint Now);
  /// Ends at once, as a second signal does.
  void forceEnd(TimePoint Now);
  /// The step to be in now. Moves forwards only.
  DrainStep update(const DrainWork &Work, TimePoint Now);

  [[nodiscard]] DrainStep step() const { return this->Step; }
  [[nodiscard]] bool ready() const { return this->Step == DrainStep::Serving; }
  [[nodiscard]] std::optional<DrainReason> reason() const {
    return this->Reason;
  }
  /// Whether all work ended by itself. Precondition: step() is Ended.
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
