// Filters that are applied to a request before it is routed.
#pragma once

#include "routing/RequestContext.h"

#include <tuple>

namespace turmericpitch {

/// A filter either refuses a request or adds to its context. Filters hold no
/// locks and may be shared between threads.
template <typename T>
concept Filter = requires(const T &F, RequestContext &Context) {
  { F.apply(Context) } -> std::same_as<Result<void>>;
};

/// Applies filters in order until one refuses.
template <Filter... Filters> class FilterChain {
public:
  explicit FilterChain(Filters... Chain) : Chain(std::move(Chain)...) {}

  /// Errors: the error of the first filter that refuses. Thread-safe.
  Result<void> apply(RequestContext &Context) const {
    Result<void> Decision;
    std::apply(
        [&](const auto &...F) {
          (((Decision = F.apply(Context)).has_value()) && ...);
        },
        this->Chain);
    return Decision;
  }

private:
  std::tuple<Filters...> Chain;
};

/// Resolves the brand by host name, the client account by credential, and the
/// database within the account's services. Never reveals anything of one brand
/// to callers of another. Scopes the idempotency key to the client account.
class AccountFilter {
public:
  Result<void> apply(RequestContext &Context) const;
};

/// Computes the deadline. Refuses time-outs that are not positive or exceed the
/// maximum.
class DeadlineFilter {
public:
  explicit DeadlineFilter(Duration MaxTimeout) : MaxTimeout(MaxTimeout) {}
  Result<void> apply(RequestContext &Context) const;

private:
  Duration MaxTimeout;
};

/// Verifies and decodes the session token.
class TokenFilter {
public:
  explicit TokenFilter(std::shared_ptr<const SessionTokenCodec> Codec)
      : Codec(std::move(Codec)) {}
  Result<void> apply(RequestContext &Context) const;

private:
  std::shared_ptr<const SessionTokenCodec> Codec;
};

/// The filters applied to every statement, in this order.
using StatementChain = FilterChain<AccountFilter, DeadlineFilter, TokenFilter>;

} // namespace turmericpitch
