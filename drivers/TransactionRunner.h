// Runs transactions, each on its own connection to the member.
#pragma once

#include "drivers/StatementRunner.h"
#include "routing/BeginFlow.h"
#include "routing/CommitFlow.h"
#include "session/TransactionState.h"

namespace turmericpitch {

/// The open transaction of one client connection, if any. Destroying it closes
/// the connection to the member, which rolls the transaction back. Thread-safe.
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

  /// Returns the connection to the pool if it is clean, else closes it.
  /// Preconditions: Mutex is held, Current is set.
  void release();

  std::mutex Mutex;
  std::optional<PinnedTransaction> Current;
};

/// Thread-safe; one per daemon. Must be owned by a shared pointer.
class TransactionRunner
    : public std::enable_shared_from_this<TransactionRunner> {
public:
  TransactionRunner(std::shared_ptr<MemberPool> Statements,
                    std::shared_ptr<UpstreamController> Upstreams,
                    std::shared_ptr<StatementRunner> Runner,
                    RoutingOptions Options, TransactionLimits Limits);

  /// Begins a transaction. Preconditions of this and the functions below:
  /// Context has passed the filter chain, Caller is the state of the client's
  /// connection, and no other request of that connection is running.
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
  /// A member's answer and the connection it came from.
  struct BeginResult {
    SharedLease Connection;
    Outcome<MemberAnswer> Answer;
  };

  Awaitable<BeginResult> beginAt(DatabaseId Id, BeginAtMember Action,
                                 AdmissionRequest Admission);
  Awaitable<Outcome<MemberAnswer>>
  commitAt(DatabaseId Id, CommitAtMember Action,
           std::shared_ptr<CallerTransaction> Caller);
  Awaitable<void> expire(std::weak_ptr<CallerTransaction> Caller,
                         TransactionId Id);
  /// Checks that the transaction is open and belongs to the request, calls Send
  /// to record what is sent, and returns the transaction's connection.
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
