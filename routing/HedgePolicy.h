// Decides when a read is also sent to a second member.
#pragma once

#include "core/Time.h"
#include "limits/RetryBudget.h"

namespace turmericpitch {

struct HedgePolicyOptions {
  /// A read is hedged if it has had no reply for Factor times the member's
  /// typical service time, and for at least MinDelay.
  int Factor = 4;
  Duration MinDelay = std::chrono::milliseconds(120);
};

/// A read whose hedge delay has elapsed. Immutable value.
struct HedgeContext {
  /// Whether an attempt waits for its member's reply; otherwise the read only
  /// waits for earlier attempts.
  bool AttemptRuns = true;
  /// Whether statements queue in this instance or at the member.
  bool Loaded = false;
  /// Whether the member has answered any request since the read was sent.
  bool MemberAnswers = false;

  bool operator==(const HedgeContext &) const = default;
};

enum class HedgeDecision {
  /// Wait for another delay.
  Wait,
  /// Look for a member again, as no attempt runs.
  FindMember,
  /// Send the read to a second member.
  Hedge,
};

/// The time from sending a read until it may be hedged. Pure; thread-safe.
Duration hedgeDelay(const HedgePolicyOptions &Options,
                    Duration TypicalServiceTime);

/// Answers a member that stops replying, or replies to a few statements late.
/// While statements queue, a second copy would only add to the queueing time,
/// unless the member is silent. Spends a token of Budget if the read is hedged.
/// Not thread-safe.
HedgeDecision decideHedge(const HedgeContext &Seen, RetryBudget &Budget);

} // namespace turmericpitch
