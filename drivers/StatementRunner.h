// Executes the actions of statement flows: attempts, waits, confirmations.
#pragma once

#include "core/Sharded.h"
#include "drivers/MemberPool.h"
#include "limits/RetryBudget.h"
#include "routing/StatementFlow.h"

#include <atomic>

namespace turmericpitch {

/// The admission request for the connection that a request needs. Thread-safe.
AdmissionRequest admissionOf(const RequestContext &Context);

/// Runs statements at members, with retries. Thread-safe; one per daemon.
class StatementRunner {
public:
  /// Statements: connections for clients' statements. Control: connections for
  /// waits and confirmations, which members count separately.
  StatementRunner(std::shared_ptr<MemberPool> Statements,
                  std::shared_ptr<MemberPool> Control,
                  std::shared_ptr<UpstreamController> Upstreams,
                  RoutingOptions Options);

  /// Runs a statement. Precondition: it has passed the filter chain.
  Awaitable<Outcome<StatementAnswer>> run(RequestContext Context);

  /// Asks replicas in parallel whether they hold an entry. Returns true once
  /// the required number of them holds it in the term it was written in.
  Awaitable<bool> confirm(DatabaseId Id, ConfirmWrite Action);

  /// Reports a member's answer or failure to the upstream controller. SentAt:
  /// when the request was sent.
  void recordOutcome(const DatabaseId &Id, const UpstreamId &Member,
                     const Outcome<MemberAnswer> &Answer, TimePoint SentAt);

private:
  /// Calls the member. Abandons a write once another member is known to be
  /// primary, as writes at this one can no longer be confirmed.
  Awaitable<Outcome<MemberAnswer>>
  callWhilePrimary(DatabaseId Id, RunAtMember Action,
                   std::shared_ptr<LeasedConnection> Connection);
  Awaitable<Outcome<MemberAnswer>>
  runAtMember(DatabaseId Id, RunAtMember Action, AdmissionRequest Admission);
  /// Charges an attempt at an upstream to its retry budget and waits for the
  /// back-off before a retry. Attempt is 0 for the statement's first attempt
  /// there. Returns false if the budget is exhausted; the statement must then
  /// not be sent.
  Awaitable<bool> mayAttempt(Endpoint Upstream, std::uint32_t Attempt,
                             TimePoint Deadline);

  std::shared_ptr<MemberPool> Statements;
  std::shared_ptr<MemberPool> Control;
  std::shared_ptr<UpstreamController> Upstreams;
  RoutingOptions Options;
  RetryBudgetOptions RetryOptions;
  Sharded<std::string, RetryBudget> RetryBudgets;
  std::atomic<std::uint64_t> NextSeed = 1;
  MonotonicClock Clock;
};

} // namespace turmericpitch
