// Bounds retries, so that they can't amplify an outage.
#pragma once

#include "core/RandomSource.h"
#include "core/Time.h"

namespace turmericpitch {

struct RetryBudgetOptions {
  /// Retries allowed for each first attempt, over time.
  double Ratio = 0.1;
  /// Retries that may be saved up.
  double MaxTokens = 10;
  /// The longest wait before the first retry; doubles with each further one.
  Duration InitialBackoff = std::chrono::milliseconds(5);
  Duration MaxBackoff = std::chrono::milliseconds(250);
};

/// The retries towards one upstream: over any span they number at most
/// MaxTokens plus Ratio times the first attempts. Pure; not thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {})
      : Options(Options), Tokens(Options.MaxTokens) {}

  /// Counts a statement's first attempt.
  void onFirstAttempt();
  /// Spends one retry; false if none is left, and then none may be made.
  bool spend();
  [[nodiscard]] double tokens() const { return this->Tokens; }

private:
  RetryBudgetOptions Options;
  double Tokens;
};

/// How long to wait before a statement's retry, counted from 1: uniform
/// between 0 and an exponentially growing bound. Pure.
Duration retryBackoff(const RetryBudgetOptions &Options, std::uint32_t Retry,
                      RandomSource &Random);

} // namespace turmericpitch
