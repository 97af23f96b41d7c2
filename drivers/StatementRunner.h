// Carries out what a statement's flow decides.
#pragma once

#include "core/Sharded.h"
#include "drivers/MemberPool.h"
#include "limits/RetryBudget.h"
#include "routing/StatementFlow.h"

#include <atomic>

namespace turmericpitch {

/// How a request asks for a connection. Thread-safe.
AdmissionRequest admissionOf(const RequestContext &Context);

/// Thread-safe; one for each daemon.
class StatementRunner {
public:
  /// Statements: connections for callers' work. Control: connections that
  /// members count apart.
  StatementRunner(std::shared_ptr<MemberPool> Statements,
                  std::shared_ptr<MemberPool> Control,
                  std::shared_ptr<UpstreamController> Upstreams,
                  RoutingOptions Options);

  /// Runs a statement that has passed the filter chain.
  Awaitable<Outcome<StatementAnswer>> run(RequestContext Context);

  /// Asks replicas in parallel whether they hold an entry; true once enough
  /// do so in the term it was written under.
  Awaitable<bool> confirm(DatabaseId Id, ConfirmWrite Wanted);

  /// Learns from a member's answer, or from its absence.
  void recordOutcome(const DatabaseId &Id, const UpstreamId &Member,
                     const Outcome<MemberAnswer> &Answer, TimePoint SentAt);

private:
  /// The member's answer; gives a write up once another member is known to
  /// be primary, as this one can have nothing confirmed any more.
  Awaitable<Outcome<MemberAnswer>>
  callWhilePrimary(DatabaseId Id, RunAtMember Wanted,
                   std::shared_ptr<LeasedConnection> Connection);
  Awaitable<Outcome<MemberAnswer>>
  runAtMember(DatabaseId Id, RunAtMember Wanted, AdmissionRequest Admitted);
  /// Counts a statement's attempt at an upstream, the first there from 0;
  /// waits before a retry. False if the retry budget is spent: then nothing
  /// may be sent.
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
