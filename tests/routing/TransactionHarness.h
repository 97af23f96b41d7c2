// Runs callers' transactions on a RequestHarness.
#pragma once

#include "routing/BeginFlow.h"
#include "routing/CommitFlow.h"
#include "session/TransactionState.h"
#include "tests/routing/RequestHarness.h"

namespace turmericpitch {

/// One request of a transaction in a scenario.
struct TransactionCall {
  std::string Name;
  std::string Instance;
  /// The caller's connection to the instance.
  std::string Connection;
  std::string Session;
  std::string Account = "account";
  /// The name of the call that began the transaction.
  std::string Transaction;
  StatementRequest Request;
};

/// Counterpart of drivers/TransactionRunner in virtual time and without
/// sockets. Not thread-safe.
class TransactionHarness {
public:
  explicit TransactionHarness(RequestHarness &Requests) : Requests(Requests) {}

  void begin(const TransactionCall &Call);
  void execute(const TransactionCall &Call);
  void commit(const TransactionCall &Call);
  void rollback(const TransactionCall &Call);
  /// Closes the caller's connection.
  void drop(const std::string &Instance, const std::string &Connection);
  /// Kills the instance and closes all its connections.
  void kill(const std::string &Instance);

  /// "done" for a success, the name of the error kind for a failure, or
  /// "pending".
  std::string outcome(const std::string &Name) const;
  const StatementAnswer &answer(const std::string &Name) const;

private:
  struct OpenTransaction {
    TransactionState State;
    Route Where;
    ConnectionId Connection;
  };
  using CallerKey = std::pair<std::string, std::string>;
  using PoolKey = std::pair<std::string, UpstreamId>;

  RequestContext contextOf(const TransactionCall &Call);
  ConnectionId acquire(const std::string &Instance, const UpstreamId &Member);
  void returnConnection(const std::string &Instance, const UpstreamId &Member,
                        ConnectionId Connection, bool Clean);
  void release(const CallerKey &Caller);
  /// Returns the open transaction that the call may use, or nullptr. Records
  /// the refusal as the call's result if RecordRefusal is set.
  OpenTransaction *findAdmitted(const TransactionCall &Call,
                                bool RecordRefusal);
  void rollBackOnTimeout(const CallerKey &Caller, const TransactionId &Id);
  void performBegin(const TransactionCall &Call,
                    const std::shared_ptr<BeginFlow> &Flow, BeginAction Action);
  void performCommit(const TransactionCall &Call,
                     const std::shared_ptr<CommitFlow> &Flow,
                     CommitAction Action);
  void sendCommit(const TransactionCall &Call,
                  const std::shared_ptr<CommitFlow> &Flow,
                  const CommitAtMember &Wanted);
  void recordResult(const TransactionCall &Call,
                    Outcome<StatementAnswer> Answer);
  TimePoint now() { return this->Requests.queue().now(); }

  RequestHarness &Requests;
  std::map<CallerKey, OpenTransaction> OpenTransactions;
  std::map<PoolKey, std::vector<ConnectionId>> Idle;
  std::map<PoolKey, std::set<ConnectionId>> InUse;
  std::map<std::string, TransactionId> TransactionIds;
  std::map<std::string, Outcome<StatementAnswer>> Results;
  std::map<std::string, ClientAccount> Accounts;
  std::set<std::string> KilledInstances;
};

} // namespace turmericpitch
