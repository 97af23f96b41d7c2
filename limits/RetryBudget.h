// Bounds the number of retries, so that they cannot amplify an outage.
#pragma once

#include "core/RandomSource.h"
#include "core/Time.h"

namespace turmericpitch {

struct RetryBudgetOptions {
  /// Tokens added by each first attempt; one retry costs one token.
  double Ratio = 0.1;
  /// Capacity of the bucket, in retries.
  double MaxTokens = 10;
  /// Upper bound of the wait before the first retry. The bound doubles with
  /// each further retry up to MaxBackoff.
  Duration InitialBackoff = std::chrono::milliseconds(5);
  Duration MaxBackoff = std::chrono::milliseconds(250);
};

/// Token bucket for the retries towards one upstream. Over any period there are
/// at most MaxTokens plus Ratio times the first attempts. Pure; not
/// thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {})
      : Options(Options), Tokens(Options.MaxTokens) {}

  /// Counts a statement's first attempt.
  void onFirstAttempt();
  /// Takes one token for a retry. Returns false if none is left; then the
  /// caller must not retry.
  bool spend();
  [[nodiscard]] double tokens() const { return this->Tokens; }

private:
  RetryBudgetOptions Options;
  double Tokens;
};

/// Returns the wait before the given retry of a statement, counted from 1:
/// uniformly distributed between 0 and an exponentially growing bound. Pure.
Duration retryBackoff(const RetryBudgetOptions &Options, std::uint32_t Retry,
                      RandomSource &Random);

} // namespace turmericpitch
