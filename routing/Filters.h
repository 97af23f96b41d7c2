// The filters that a request passes before it is routed.
#pragma once

#include "routing/RequestContext.h"

#include <tuple>

namespace turmericpitch {

/// A filter refuses a request or adds to its context. Filters hold no locks
/// and are safe to share between threads.
template <typename T>
concept Filter = requires(const T &F, RequestContext &Context) {
  { F.apply(Context) } -> std::same_as<Result<void>>;
};

/// Runs filters in order until one refuses.
template <Filter... Filters> class FilterChain {
public:
  explicit FilterChain(Filters... Each) : Each(std::move(Each)...) {}

  /// Errors: those of the first filter that refuses. Thread-safe.
  Result<void> apply(RequestContext &Context) const {
    Result<void> Verdict;
    std::apply(
        [&](const auto &...F) {
          (((Verdict = F.apply(Context)).has_value()) && ...);
        },
        this->Each);
    return Verdict;
  }

private:
  std::tuple<Filters...> Each;
};

/// Finds the brand by host, the client account by credential, and the
/// database within the account's services. Never tells one brand's callers
/// about another brand's things. Makes the idempotency key the account's own.
class AccountFilter {
public:
  Result<void> apply(RequestContext &Context) const;
};

/// Works out the deadline; refuses patience out of bounds.
class DeadlineFilter {
public:
  explicit DeadlineFilter(Duration MaxTimeout) : MaxTimeout(MaxTimeout) {}
  Result<void> apply(RequestContext &Context) const;

private:
  Duration MaxTimeout;
};

/// Checks and decodes the session token.
class TokenFilter {
public:
  explicit TokenFilter(std::shared_ptr<const SessionTokenCodec> Codec)
      : Codec(std::move(Codec)) {}
  Result<void> apply(RequestContext &Context) const;

private:
  std::shared_ptr<const SessionTokenCodec> Codec;
};

/// The chain that every statement passes, in this order.
using StatementChain = FilterChain<AccountFilter, DeadlineFilter, TokenFilter>;

} // namespace turmericpitch
