// Carries out transactions, each on a connection of its own.
#pragma once

#include "drivers/StatementRunner.h"
#include "routing/BeginFlow.h"
#include "routing/CommitFlow.h"
#include "session/TransactionState.h"

namespace turmericpitch {

/// The open transaction of one caller connection. Destroying it closes the
/// member's connection and so rolls the transaction back. Thread-safe.
class CallerTransaction {
public:
  ~CallerTransaction();
  /// Whether a transaction is open. Thread-safe.
  [[nodiscard]] bool open();

private:
  friend class TransactionRunner;
  struct PinnedTransaction {
    TransactionState State;
    Route Where;
    std::shared_ptr<LeasedConnection> Connection;
  };

  /// Lets go of the member's connection: back to the pool if clean, else
  /// closed. Precondition: Guard is held.
  void release();

  std::mutex Mutex;
  std::optional<PinnedTransaction> Current;
};

/// Thread-safe; one for each daemon. Must be held by a shared pointer.
class TransactionRunner
    : public std::enable_shared_from_this<TransactionRunner> {
public:
  TransactionRunner(std::shared_ptr<MemberPool> Statements,
                    std::shared_ptr<UpstreamController> Upstreams,
                    std::shared_ptr<StatementRunner> Runner,
                    RoutingOptions Options, TransactionLimits Limits);

  /// All take a context that has passed the filter chain, and the state of
  /// the caller's connection; one request of a connection runs at a time.
  Awaitable<Outcome<BegunTransaction>>
  begin(RequestContext Context, std::shared_ptr<CallerTransaction> Caller);
  Awaitable<Outcome<StatementAnswer>>
  execute(RequestContext Context, TransactionId Id,
          std::shared_ptr<CallerTransaction> Caller);
  Awaitable<Outcome<StatementAnswer>>
  commit(RequestContext Context, TransactionId Id,
         std::shared_ptr<CallerTransaction> Caller);
  Awaitable<Outcome<StatementAnswer>>
  rollback(RequestContext Context, TransactionId Id,
           std::shared_ptr<CallerTransaction> Caller);

private:
  using SharedLease = std::shared_ptr<LeasedConnection>;
  /// A member's answer with the connection that brought it.
  struct BeginResult {
    SharedLease Connection;
    Outcome<MemberAnswer> Answer;
  };

  Awaitable<BeginResult> beginAt(DatabaseId Id, BeginAtMember Wanted,
                                 AdmissionRequest Admitted);
  Awaitable<Outcome<MemberAnswer>>
  commitAt(DatabaseId Id, CommitAtMember Wanted,
           std::shared_ptr<CallerTransaction> Caller);
  Awaitable<void> expire(std::weak_ptr<CallerTransaction> Caller,
                         TransactionId Id);
  /// The connection of an open transaction, marked as in use by Send.
  template <typename Callable>
  Outcome<SharedLease> claim(CallerTransaction &Caller,
                             const RequestContext &Context,
                             const TransactionId &Id, Callable &&Send);

  std::shared_ptr<MemberPool> Statements;
  std::shared_ptr<UpstreamController> Upstreams;
  std::shared_ptr<StatementRunner> Runner;
  RoutingOptions Options;
  TransactionLimits Limits;
  MonotonicClock Clock;
};

} // namespace turmericpitch
