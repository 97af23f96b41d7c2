#include "drivers/StatementDispatcher.h"

#include "core/DecisionLog.h"
#include "drivers/StatementLog.h"
#include "routing/CapacityEstimate.h"
#include "routing/HomeReplica.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

/// Maximum number of times that the back-off of a transaction's statement
/// doubles.
constexpr std::uint32_t MaxBusyDoublings = 4;

std::int64_t inMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

/// The position that a replica's log must have reached to serve the statement;
/// empty if no sample is known that would meet the requirement.
std::optional<TermPosition> requiredReplicaPosition(const ServiceState &State,
                                                    const StatementCall &Call) {
  const RouteRule &Route = Call.Route;
  auto Needed =
      State.Freshness.positionFor(Route.MaximumAge, Call.Terms.ArrivedAt);
  auto Written = Call.Session->State.lastWrite(Route.Service);
  if (Route.Level != Consistency::ReadYourWrites || !Written || !Needed)
    return Needed;
  auto Own = State.Freshness.positionFor(*Written);
  if (!Own)
    return std::nullopt;
  return std::max(*Needed, *Own);
}

StatementClass classOf(const RouteRule &Route) {
  return {.Level = Route.Level,
          .Priority = Route.Priority,
          .Goal = Route.LatencyGoal};
}

/// Adds the statement to those in flight at its member.
void countAtMember(StatementCall &Call) {
  if (Call.CountedAtMember)
    return;
  Call.CountedAtMember = true;
  Call.Pool->onStatementSent();
}

/// Removes the statement from those in flight at its member. Run is set if the
/// member executed it.
void endAtMember(StatementCall &Call,
                 const std::optional<MemberLinkPool::RunTime> &Run) {
  if (!Call.CountedAtMember)
    return;
  Call.CountedAtMember = false;
  Call.Pool->onStatementEnded(Run);
}

/// The call's current attempt.
StatementAttempt currentAttempt(const StatementCall &Call) {
  return {.Link = Call.Link,
          .Pool = Call.Pool,
          .Epoch = Call.Epoch,
          .MinPosition = Call.MinPosition,
          .SentAt = Call.SentAt};
}

/// Makes the attempt, whose statement was sent, the current one.
void resumeAttempt(StatementCall &Call, const StatementAttempt &Attempt) {
  Call.Link = Attempt.Link;
  Call.Pool = Attempt.Pool;
  Call.Epoch = Attempt.Epoch;
  Call.MinPosition = Attempt.MinPosition;
  Call.SentAt = Attempt.SentAt;
  Call.CountedAtMember = true;
  Call.StatementSent = true;
}

/// Whether the call waits for members' replies after it has ended. The link of
/// a transaction is closed with the transaction.
bool hasUnanswered(const StatementCall &Call) {
  bool Pinned =
      Call.Session->PinnedLink && Call.Session->PinnedLink == Call.Link;
  return !Call.Outstanding.empty() || (Call.awaitsReply() && !Pinned);
}

/// The text of a refusal with what the client may rely on.
std::string refusalText(ReplyError Code, std::string_view Reason,
                        Duration RetryAfter) {
  std::string Text(Reason);
  if (provesMemberDidNotRun(Code))
    Text += "; not run";
  else if (provesNotCommitted(Code))
    Text += "; nothing is kept";
  else
    Text += "; may have run";
  if (RetryAfter > Duration{0})
    Text +=
        ", retry after " + std::to_string(inMilliseconds(RetryAfter)) + " ms";
  return Text;
}

} // namespace

StatementDispatcher::StatementDispatcher(asio::any_io_executor Exec,
                                         StatementDispatcherOptions Options,
                                         LeaseLookup LeaseOf,
                                         RecoveryTimeLookup RecoveryTimeOf)
    : Exec(Exec), Options(std::move(Options)), LeaseOf(std::move(LeaseOf)),
      RecoveryTimeOf(std::move(RecoveryTimeOf)), WakeTimer(Exec) {}

StatementDispatcher::~StatementDispatcher() {
  for (auto &[Id, State] : this->Services)
    for (auto &[Member, Pool] : State.Pools)
      Pool->dropAll();
}

StatementDispatcher::LinkCounts StatementDispatcher::links() const {
  LinkCounts Sum;
  for (const auto &[Id, State] : this->Services)
    for (const auto &[Member, Pool] : State.Pools) {
      Sum.Open += Pool->openLinkCount();
      Sum.Idle += Pool->idleLinkCount();
      Sum.Opened += Pool->openedLinkCount();
      Sum.Evicted += Pool->evictedLinkCount();
    }
  return Sum;
}

bool StatementDispatcher::allReplicasLag(const ServiceId &Service,
                                         const UpstreamId &Primary) const {
  auto State = this->Services.find(Service);
  if (State == this->Services.end())
    return false;
  TimePoint Now = this->Clock.now();
  bool AnyCandidate = false;
  for (const auto &[Id, Pool] : State->second.Pools) {
    if (Id == Primary || Pool->excluded(Now))
      continue;
    if (!Pool->lagsRepeatedly(Now))
      return false;
    AnyCandidate = true;
  }
  return AnyCandidate;
}

bool StatementDispatcher::isBeingReplaced(const SharedCall &Call) const {
  const ServiceId &Service = Call->Route.Service;
  auto Lease = this->LeaseOf(Service);
  return Lease && !this->holdsLease(Service, Call->Epoch) &&
         (Lease->Ending || Lease->Epoch != Call->Epoch);
}

bool StatementDispatcher::holdsLease(const ServiceId &Service,
                                     std::uint64_t Epoch) const {
  auto Lease = this->LeaseOf(Service);
  return Lease && Lease->Epoch == Epoch && Lease->ExpiresAt > this->Clock.now();
}

bool StatementDispatcher::ranUnderLease(const ServiceId &Service,
                                        std::uint64_t Epoch) const {
  return Epoch == 0 || this->holdsLease(Service, Epoch);
}

void StatementDispatcher::onRegistry(const RegistryChange &Change,
                                     const RouteController &Routes,
                                     std::size_t Instances) {
  auto AllowanceOf = [&](const ServiceId &Service) {
    const ServiceRule *Rule = Routes.service(Service);
    return ConnectionAllowanceOptions{.MemberLimit =
                                          Rule ? Rule->MaximumConnections : 1,
                                      .Instances = Instances};
  };
  auto Update = [&](const RegisteredMember &Member) {
    ServiceState &State = this->Services[Member.Service];
    State.Id = Member.Service;
    auto Found = State.Pools.find(Member.Id);
    if (Found != State.Pools.end())
      return Found->second->onEntryChanged(Member);
    State.Pools.emplace(Member.Id, std::make_shared<MemberLinkPool>(
                                       this->Exec, this->Options.Self, Member,
                                       AllowanceOf(Member.Service), this->Use));
  };
  std::for_each(Change.Added.begin(), Change.Added.end(), Update);
  std::for_each(Change.Changed.begin(), Change.Changed.end(), Update);
  for (const RegisteredMember &Member : Change.Removed)
    this->Services[Member.Service].Pools.erase(Member.Id);
  for (auto &[Service, State] : this->Services) {
    State.LowestPriority = Routes.lowestPriority(Service);
    State.Ages = Routes.acceptedAges(Service);
    State.Configured = Routes.loaded();
    if (Routes.loaded()) {
      const ServiceRule *Rule = Routes.service(Service);
      State.SynchronousReplicas = Rule ? Rule->SynchronousReplicas : 0;
    }
    if (State.Ages)
      State.Freshness.setLoosestAge(State.Ages->Loosest);
    for (auto &[Id, Pool] : State.Pools)
      Pool->setAllowance(AllowanceOf(Service));
    this->preferReplica(State);
  }
}

void StatementDispatcher::preferReplica(ServiceState &State) {
  std::vector<RegisteredMember> Members;
  for (const auto &[Id, Pool] : State.Pools)
    Members.push_back(Pool->member());
  auto Home = homeReplica(this->Options.Self, this->Options.Zone, Members);
  auto Replicas = std::count_if(
      Members.begin(), Members.end(), [](const RegisteredMember &Each) {
        return Each.Role != MemberRole::Primary && !Each.Draining;
      });
  for (auto &[Id, Pool] : State.Pools)
    if (Pool->member().Role == MemberRole::Primary)
      Pool->setRelativeUse(1);
    else
      Pool->setRelativeUse(Home == Id ? static_cast<double>(Replicas) : 0);
}

void StatementDispatcher::submit(const SharedCall &Call) {
  SessionContext &Session = *Call->Session;
  Call->Route = Session.Route;
  const SessionState &State = Session.State;
  bool Strong = Call->Route.Level == Consistency::Strong;
  Call->NeedsPrimary = Strong || State.mayWrite(Call->Request);
  Call->LastingEffect =
      State.inTransaction()
          ? Call->Request.Kind == StatementKind::Commit && !State.isReadOnly()
          : State.isWrite(Call->Request);
  Duration Remaining = Call->Terms.Deadline - this->Clock.now();
  Call->Timer.expires_after(Remaining);
  Call->Timer.async_wait(
      [this, Call](const boost::system::error_code &Failure) {
        if (!Failure)
          this->onDeadline(Call);
      });
  if (!Session.PinnedLink)
    return this->enqueue(Call);
  Call->Link = Session.PinnedLink;
  Call->Pool = Session.PinnedPool;
  Call->Epoch = Session.PinnedEpoch;
  if (!Call->Link->idle())
    return this->onLinkLost(Call);
  this->startOnLink(Call);
}

void StatementDispatcher::enqueue(const SharedCall &Call) {
  ServiceState &State = this->Services[Call->Route.Service];
  State.Id = Call->Route.Service;
  Call->Terms.ServiceTime = this->ServiceTimes[classOf(Call->Route)].value();
  if (State.Queue.empty() &&
      this->tryPlace(State, Call) == StartAttempt::Done) {
    State.Monitor.onPass({}, this->Clock.now());
    return;
  }
  this->pushToQueue(State, Call);
  this->serve(State);
}

void StatementDispatcher::pushToQueue(ServiceState &State,
                                      const SharedCall &Call) {
  Call->Queued = true;
  State.Queue.push(Call, Call->Terms);
}

void StatementDispatcher::scheduleWake() {
  if (this->WakeScheduled)
    return;
  this->WakeScheduled = true;
  this->WakeTimer.expires_after(this->Options.WakeInterval);
  this->WakeTimer.async_wait([this](const boost::system::error_code &Failure) {
    this->WakeScheduled = false;
    if (Failure)
      return;
    for (auto &[Id, State] : this->Services)
      this->serve(State);
  });
}

void StatementDispatcher::serve(ServiceState &State) {
  if (State.Serving || State.Queue.empty())
    return;
  State.Serving = true;
  std::size_t Started = 0;
  State.Queue.serve(this->Clock.now(), [&](const SharedCall &Call) {
    // Placing may fail at once and queue the statement again.
    Call->Queued = false;
    if (Call->Finished)
      return StartAttempt::Done;
    StartAttempt Result = this->tryPlace(State, Call);
    if (Result != StartAttempt::Done)
      Call->Queued = true;
    else if (!Call->Finished)
      ++Started;
    return Result;
  });
  TimePoint Now = this->Clock.now();
  State.Monitor.onPass({.Started = Started,
                        .AnyBlocked = State.Queue.anyBlocked(),
                        .AnyTimely = State.Queue.anyTimely(Now)},
                       Now);
  this->shedUnservable(State);
  State.Serving = false;
  if (!State.Queue.empty())
    this->scheduleWake();
}

void StatementDispatcher::shedUnservable(ServiceState &State) {
  if (State.Queue.empty())
    return;
  TimePoint Now = this->Clock.now();
  std::vector<MemberCandidate> Candidates;
  for (const auto &[Id, Pool] : State.Pools)
    Candidates.push_back(
        Pool->candidate(this->Options.Zone, ClientAccountId{}, Now));
  auto Capacity = estimateCapacity(Candidates);
  // Without a usable member, the outage wait policy decides per statement.
  if (!Capacity)
    return;
  // The shares overestimate the capacity while replicas refuse reads.
  Duration Interval = std::max(
      Capacity->StartInterval,
      State.Monitor.startInterval(Now).value_or(Capacity->StartInterval));
  QueueOutlook Outlook{
      .Step = Interval,
      .Reserve = Capacity->ServiceTime,
      .Stands = State.Monitor.stands(State.Queue.meanServiceTime(), Now)};
  if (Outlook.Stands != State.QueueStands)
    writeDecision(DecisionLine("queue_stands")
                      .field("service", State.Id.Value)
                      .field("stands", Outlook.Stands ? 1 : 0)
                      .field("waiting", State.Queue.size())
                      .field("interval_ms", inMilliseconds(Interval)));
  State.QueueStands = Outlook.Stands;
  std::vector<SharedCall> Refused = State.Queue.shed(Now, Outlook);
  if (Outlook.Stands && !Refused.empty())
    State.Monitor.onRefused(Now);
  for (std::size_t Index = 0; Index < Refused.size(); ++Index) {
    const SharedCall &Call = Refused[Index];
    Call->Queued = false;
    if (!Call->Outstanding.empty())
      this->awaitOutstanding(Call);
    else
      this->refuse(Call, ReplyError::Busy,
                   Outlook.Stands
                       ? "more statements arrive than the members can run"
                       : "too many statements wait for a member",
                   Outlook.retryAfter(State.Queue.size(), Index));
  }
}

StartAttempt StatementDispatcher::tryPlace(ServiceState &State,
                                           const SharedCall &Call) {
  TimePoint Now = this->Clock.now();
  auto Lease = this->LeaseOf(State.Id);
  // After its lease has expired, the former primary may still serve reads: its
  // log holds every position that was sampled there.
  std::optional<UpstreamId> FormerPrimary;
  if (Lease && Lease->ExpiresAt <= Now) {
    if (State.Freshness.epoch() == Lease->Epoch)
      FormerPrimary = Lease->Primary;
    Lease.reset();
  }
  if (Now < State.NotPrimaryUntil)
    Lease.reset();
  std::vector<MemberCandidate> Candidates;
  std::vector<std::shared_ptr<MemberLinkPool>> Pools;
  for (const auto &[Id, Pool] : State.Pools) {
    MemberCandidate Each =
        Pool->candidate(this->Options.Zone, Call->Session->Account, Now);
    Each.UsablePrimary = Lease && Lease->Primary == Id;
    Each.Primary =
        Each.UsablePrimary ||
        (Pool->member().Role == MemberRole::Primary && FormerPrimary != Id);
    Each.Excluded = Each.Excluded ||
                    (!Call->NeedsPrimary && Call->Outstanding.at(Id)) ||
                    std::find(Call->Excluded.begin(), Call->Excluded.end(),
                              Id) != Call->Excluded.end();
    Candidates.push_back(std::move(Each));
    Pools.push_back(Pool);
  }
  PlacementRequirements Requirements{
      .Primary = Call->NeedsPrimary,
      .MinPosition = requiredReplicaPosition(State, *Call),
      .Urgent = Call->Terms.Priority < State.LowestPriority};
  Placement Chosen =
      placeStatement(Candidates, Requirements, this->Options.Placement, Now);
  if (Chosen.Status == PlacementStatus::NoMember)
    return this->waitOrRefuse(State, Call);
  State.Outage.onPlacement(Call->NeedsPrimary, true, Now);
  if (Chosen.Status == PlacementStatus::Wait)
    return StartAttempt::MembersBusy;
  bool AtPrimary = Candidates[Chosen.Index].UsablePrimary;
  Call->MinPosition = AtPrimary ? std::nullopt : Requirements.MinPosition;
  this->startAtMember(Call, Pools[Chosen.Index],
                      AtPrimary ? Lease : std::nullopt);
  return StartAttempt::Done;
}

StartAttempt StatementDispatcher::waitOrRefuse(ServiceState &State,
                                               const SharedCall &Call) {
  TimePoint Now = this->Clock.now();
  std::optional<TimePoint> BeganAt;
  // Members that only this statement doesn't use are no outage.
  if (Call->Excluded.empty() && Call->Outstanding.empty())
    BeganAt = State.Outage.onPlacement(Call->NeedsPrimary, false, Now);
  OutageWaitDecision Decision = decideOutageWait(
      this->Options.OutageWait, BeganAt.value_or(Call->Terms.ArrivedAt),
      Call->Terms.Deadline, this->RecoveryTimeOf(State.Id), Now);
  // A failure that a member has reported is known now.
  if (Decision.Wait && !Call->FailedReply)
    return StartAttempt::NoMember;
  if (!Call->Outstanding.empty())
    this->awaitOutstanding(Call);
  else
    this->refuse(Call, ReplyError::Busy,
                 Call->NeedsPrimary
                     ? "no primary available"
                     : "no member with recent enough data available",
                 Decision.RetryAfter);
  return StartAttempt::Done;
}

void StatementDispatcher::startAtMember(
    const SharedCall &Call, const std::shared_ptr<MemberLinkPool> &Pool,
    const std::optional<PrimaryLease> &Lease) {
  Call->Pool = Pool;
  Call->Epoch = Lease ? Lease->Epoch : 0;
  if (++Call->Attempts == 1) {
    this->Use->note(Call->Session->Account, this->Clock.now());
    ServiceState &State = this->Services[Call->Route.Service];
    State.HedgeBudget.onFirstAttempt();
    State.FailedReadBudget.onFirstAttempt();
  }
  countAtMember(*Call);
  Call->Link =
      Pool->takeIdle(Call->Session->Account, Call->Session->State.values());
  if (Call->Link)
    return this->startOnLink(Call);
  Call->Link =
      Pool->openLink(Call->Session->Account, [this, Call](LinkOpening Result) {
        if (Result == LinkOpening::Opened) {
          if (Call->Finished)
            return this->releaseLink(Call);
          return this->startOnLink(Call);
        }
        Call->Link.reset();
        endAtMember(*Call, std::nullopt);
        if (Call->Finished)
          return;
        bool AtLimit = Result == LinkOpening::RefusedAtLimit ||
                       Result == LinkOpening::EndedEarly;
        this->retry(Call, !AtLimit, toString(Result));
      });
}

void StatementDispatcher::startOnLink(const SharedCall &Call) {
  const PreparedStatement *Prepared =
      Call->Request.Kind == StatementKind::Execute
          ? Call->Session->State.prepared(Call->Request.Name)
          : nullptr;
  auto SetupSteps = Call->Link->SetupState.setupSteps(
      Call->Session->State.values(), Prepared);
  Call->SetupSteps.assign(SetupSteps.begin(), SetupSteps.end());
  Call->StatementSent = false;
  this->advance(Call);
}

void StatementDispatcher::advance(const SharedCall &Call) {
  if (!Call->Link->idle())
    return this->onLinkLost(Call);
  if (!Call->SetupSteps.empty()) {
    SessionSetupStep Step = std::move(Call->SetupSteps.front());
    Call->SetupSteps.pop_front();
    return this->sendStep(Call, Step);
  }
  if (Call->Session->State.transaction() == SessionTransaction::Opened)
    return this->sendBegin(Call);
  this->sendStatement(Call);
}

void StatementDispatcher::sendStep(const SharedCall &Call,
                                   const SessionSetupStep &Step) {
  auto Line = encodeSetupStep(Step);
  if (!Line)
    return this->refuseUnsendable(Call, Line.error());
  Call->Link->run(Call->Session->Account, Line.value(),
                  [this, Call, Step](Outcome<StatementReply> Reply) {
                    if (!Reply || Reply.value().Failure)
                      return this->onLinkLost(Call);
                    Call->Link->SetupState.onStepCompleted(Step);
                    if (Call->Finished)
                      return this->releaseLink(Call);
                    this->advance(Call);
                  });
}

void StatementDispatcher::sendBegin(const SharedCall &Call) {
  if (Call->Epoch != 0 && !this->holdsLease(Call->Route.Service, Call->Epoch)) {
    this->releaseLink(Call);
    return this->retry(Call, false, "right_ran_out");
  }
  Call->Link->run(
      Call->Session->Account,
      encodeBegin(Call->Session->State.isReadOnly(), Call->MinPosition),
      [this, Call](Outcome<StatementReply> Reply) {
        if (!Reply)
          return this->onLinkLost(Call);
        if (Call->Finished)
          return this->releaseLink(Call);
        if (Reply.value().Failure) {
          ReplyFailure Failure = *Reply.value().Failure;
          return this->onFailure(Call, Failure, std::move(Reply.value()));
        }
        if (!this->ranUnderLease(Call->Route.Service, Call->Epoch)) {
          // Nothing has run in the transaction yet.
          auto Link = Call->Link;
          auto Pool = Call->Pool;
          endAtMember(*Call, std::nullopt);
          Link->run(Call->Session->Account, encodeRollback(),
                    [this, Link, Pool](const Outcome<StatementReply> &) {
                      Pool->release(Link, this->Clock.now());
                    });
          return this->retry(Call, false, "right_ran_out");
        }
        SessionContext &Session = *Call->Session;
        Session.State.onTransactionStarted();
        Session.PinnedLink = Call->Link;
        Session.PinnedPool = Call->Pool;
        Session.PinnedEpoch = Call->Epoch;
        Session.TransactionId = Call->Request.Id;
        // From here on the transaction holds the link. Each statement counts
        // as in flight only while it runs.
        this->sendStatement(Call);
      });
}

void StatementDispatcher::sendStatement(const SharedCall &Call) {
  SessionContext &Session = *Call->Session;
  const ServiceId &Service = Call->Route.Service;
  bool Running = Session.State.transaction() == SessionTransaction::Running;
  if (Call->Epoch != 0 && !Running && !this->holdsLease(Service, Call->Epoch)) {
    this->releaseLink(Call);
    return this->retry(Call, false, "right_ran_out");
  }
  if (Running && Call->LastingEffect && this->isBeingReplaced(Call)) {
    this->endTransaction(Call, false);
    return this->refuse(
        Call, ReplyError::Aborted, "the primary is being replaced",
        this->RecoveryTimeOf(Service).value_or(this->Options.RetryAfter));
  }
  std::optional<std::string> PreparedName;
  if (Call->Request.Kind == StatementKind::Execute)
    PreparedName = memberNameOf(*Session.State.prepared(Call->Request.Name));
  auto Line = encodeForMember(Call->Request, PreparedName,
                              Running ? std::nullopt : Call->MinPosition);
  if (!Line)
    return this->refuseUnsendable(Call, Line.error());
  countAtMember(*Call);
  Call->StatementSent = true;
  ++Call->PossibleRuns;
  Call->SentAt = this->Clock.now();
  Call->PrecedingPosition.reset();
  if (Call->LastingEffect && this->Services[Service].SynchronousReplicas > 0)
    if (auto Newest = this->newestSample(Service, Call->Epoch))
      Call->PrecedingPosition = Newest->Reached;
  Call->Link->run(Session.Account, Line.value(),
                  [this, Call, Attempt = currentAttempt(*Call)](
                      Outcome<StatementReply> Reply) {
                    if (Call->Link != Attempt.Link)
                      return this->onOutstandingReply(Call, Attempt,
                                                      std::move(Reply));
                    this->onReply(Call, std::move(Reply));
                  });
  if (!Session.State.inTransaction() && !Call->LastingEffect)
    this->startHedgeTimer(Call);
}

void StatementDispatcher::refuseUnsendable(const SharedCall &Call,
                                           const Error &Why) {
  if (Call->Session->State.transaction() == SessionTransaction::Running)
    this->endTransaction(Call, false);
  else
    this->releaseLink(Call);
  this->refuse(Call, ReplyError::Malformed, Why.Message, Duration{0});
}

void StatementDispatcher::startHedgeTimer(const SharedCall &Call) {
  if (Call->Attempts >= this->Options.MaxAttempts)
    return;
  Call->HedgeTimer.expires_after(
      hedgeDelay(this->Options.Hedge, Call->Pool->typicalServiceTime()));
  Call->HedgeTimer.async_wait([this, Call, Link = Call->Link](
                                  const boost::system::error_code &Failure) {
    // A later attempt may be setting the same link up.
    bool Waits = Call->Link ? Call->StatementSent : !Call->Outstanding.empty();
    if (!Failure && !Call->Finished && !Call->Queued && Waits &&
        Call->Link == Link)
      this->hedge(Call);
  });
}

void StatementDispatcher::hedge(const SharedCall &Call) {
  ServiceState &State = this->Services[Call->Route.Service];
  HedgeContext Seen{.AttemptRuns = Call->Link != nullptr,
                    .Loaded = !State.Queue.empty() || Call->Pool->congested(),
                    .MemberAnswers = Call->Pool->answeredSince(Call->SentAt)};
  HedgeDecision Decision = decideHedge(Seen, State.HedgeBudget);
  if (Decision == HedgeDecision::Wait)
    return this->startHedgeTimer(Call);
  if (Decision == HedgeDecision::FindMember)
    return this->retry(Call, false, "unanswered");
  writeDecision(DecisionLine("hedge")
                    .field("request", Call->Request.Id)
                    .field("member", Call->Pool->member().Id.Value)
                    .field("silent", Seen.MemberAnswers ? 0 : 1)
                    .field("typical_ms",
                           inMilliseconds(Call->Pool->typicalServiceTime())));
  Call->Outstanding.add(currentAttempt(*Call));
  Call->CountedAtMember = false;
  this->retry(Call, false, "unanswered");
}

void StatementDispatcher::awaitOutstanding(const SharedCall &Call) {
  this->startHedgeTimer(Call);
}

void StatementDispatcher::onOutstandingReply(const SharedCall &Call,
                                             const StatementAttempt &Attempt,
                                             Outcome<StatementReply> Reply) {
  TimePoint Now = this->Clock.now();
  Call->Outstanding.remove(Attempt.Link);
  bool OnlyAttempt = !Call->Queued && !Call->Link && Call->Outstanding.empty();
  if (!Call->Finished && OnlyAttempt) {
    resumeAttempt(*Call, Attempt);
    return this->onReply(Call, std::move(Reply));
  }
  Attempt.Pool->onStatementEnded(std::nullopt);
  Attempt.Pool->release(Attempt.Link, Now);
  asio::post(this->Exec, [this, Service = Call->Route.Service] {
    this->serve(this->Services[Service]);
  });
  if (Reply)
    this->recordReply(Call, Attempt, Reply.value());
  if (Call->Finished)
    return;
  if (!Reply) {
    Call->MayHaveRun = true;
    if (!Call->NeedsPrimary)
      Call->Excluded.push_back(Attempt.Pool->member().Id);
    return;
  }
  if (const auto &Failure = Reply.value().Failure) {
    this->recordFailure(Call, Attempt, Failure->Code);
    if (provesMemberDidNotRun(Failure->Code)) {
      --Call->PossibleRuns;
      // As in onFailure(), a refusal for lack of capacity is no attempt.
      if (Failure->Code == ReplyError::Busy)
        --Call->Attempts;
      return;
    }
    Call->MayHaveRun = true;
    Call->FailedReply = std::move(Reply.value());
    return;
  }
  if (this->ranUnderLease(Call->Route.Service, Attempt.Epoch))
    return this->deliver(Call, std::move(Reply.value()));
  Call->MayHaveRun = true;
}

void StatementDispatcher::recordReply(const SharedCall &Call,
                                      const StatementAttempt &Attempt,
                                      const StatementReply &Reply) {
  TimePoint Now = this->Clock.now();
  Attempt.Pool->onAnswered(Now);
  if (!Reply.Position)
    return;
  Attempt.Pool->onPositionReported(*Reply.Position);
  if (Attempt.MinPosition && !Reply.Failure)
    Attempt.Pool->onCaughtUp();
  const ServiceId &Service = Call->Route.Service;
  if (Attempt.Epoch == 0)
    return;
  // If the lease of this epoch is valid now, it was also valid when the
  // statement was sent.
  if (this->holdsLease(Service, Attempt.Epoch))
    this->Services[Service].Freshness.onPrimaryAnswer(
        Attempt.Epoch, *Reply.Position, Attempt.SentAt);
}

void StatementDispatcher::recordFailure(const SharedCall &Call,
                                        const StatementAttempt &Attempt,
                                        ReplyError Code) {
  TimePoint Now = this->Clock.now();
  if (Code == ReplyError::Lagging && Attempt.MinPosition)
    Attempt.Pool->onLagging(*Attempt.MinPosition, Now);
  if (Code == ReplyError::Busy)
    Attempt.Pool->onBusy(Now);
  if (Code == ReplyError::Failed)
    Attempt.Pool->onRunEnded(true);
  if (Code == ReplyError::ReadOnly && Attempt.Epoch != 0)
    this->Services[Call->Route.Service].NotPrimaryUntil =
        Now + this->Options.NotPrimaryBackoff;
}

void StatementDispatcher::onReply(const SharedCall &Call,
                                  Outcome<StatementReply> Reply) {
  TimePoint Now = this->Clock.now();
  bool Answered = Reply.hasValue();
  std::optional<MemberLinkPool::RunTime> Run;
  if (Answered && !Reply.value().Failure) {
    const RouteRule &Route = Call->Route;
    Run = {.Elapsed = Now - Call->SentAt,
           .TargetTime = Route.LatencyGoal / this->Options.GoalShare};
    Call->Pool->onRunEnded(false);
    this->ServiceTimes[classOf(Route)].observe(Run->Elapsed, Now);
  }
  endAtMember(*Call, Run);
  if (!Answered)
    return this->onLinkLost(Call);
  this->recordReply(Call, currentAttempt(*Call), Reply.value());
  if (Call->Finished) {
    if (Call->Session->PinnedLink != Call->Link)
      this->releaseLink(Call);
    return;
  }
  if (Reply.value().Failure) {
    ReplyFailure Failure = *Reply.value().Failure;
    return this->onFailure(Call, Failure, std::move(Reply.value()));
  }
  SessionContext &Session = *Call->Session;
  if (!Session.State.inTransaction() && !Call->LastingEffect &&
      !this->ranUnderLease(Call->Route.Service, Call->Epoch)) {
    Call->MayHaveRun = true;
    this->releaseLink(Call);
    return this->retry(Call, false, "right_ran_out");
  }
  bool Ends = Call->Request.Kind == StatementKind::Commit;
  if (Ends)
    this->endTransaction(Call, false);
  else if (!Session.PinnedLink)
    this->releaseLink(Call);
  if (!Call->LastingEffect)
    return this->deliver(Call, std::move(Reply.value()));
  this->recordAcknowledged(*Call);
  this->confirmOrHold(Call, std::move(Reply.value()));
}

void StatementDispatcher::recordAcknowledged(const StatementCall &Call) {
  // A transaction may have written nothing, so its commit proves nothing.
  if (!Call.PrecedingPosition || Call.Request.Kind == StatementKind::Commit)
    return;
  EpochPosition Proven{.Epoch = Call.Epoch, .Entry = *Call.PrecedingPosition};
  auto &Known = this->Services[Call.Route.Service].Acknowledged;
  Known = std::max(Known, std::optional(Proven));
}

void StatementDispatcher::confirmOrHold(const SharedCall &Call,
                                        StatementReply Reply) {
  const ServiceId &Service = Call->Route.Service;
  if (this->holdsLease(Service, Call->Epoch)) {
    if (Reply.Position)
      Call->Session->State.onWriteAcknowledged(
          Service, {.Epoch = Call->Epoch, .Entry = *Reply.Position});
    return this->deliver(Call, std::move(Reply));
  }
  writeDecision(DecisionLine("hold_acknowledgement")
                    .field("request", Call->Request.Id)
                    .field("service", Service.Value)
                    .field("reign", Call->Epoch)
                    .field("reason", "lease of the primary expired"));
  Call->ReplyHeld = true;
  this->HeldReplies.push_back(
      {.Call = Call,
       .Reply = std::move(Reply),
       .Epoch = Call->Epoch,
       .ExpiresAt =
           std::min(Call->Terms.Deadline,
                    this->Clock.now() + this->Options.ConfirmationTimeout)});
}

void StatementDispatcher::onLeasesChanged() {
  std::vector<HeldReply> Replies = std::move(this->HeldReplies);
  this->HeldReplies.clear();
  for (HeldReply &Each : Replies) {
    if (Each.Call->Finished)
      continue;
    const ServiceId &Service = Each.Call->Route.Service;
    auto Lease = this->LeaseOf(Service);
    bool Superseded = Lease && Lease->Epoch != Each.Epoch;
    if (this->holdsLease(Service, Each.Epoch))
      this->confirmOrHold(Each.Call, std::move(Each.Reply));
    else if (Superseded || this->Clock.now() >= Each.ExpiresAt)
      this->refuse(Each.Call, ReplyError::InDoubt,
                   "the primary may have been replaced", Duration{0});
    else
      this->HeldReplies.push_back(std::move(Each));
  }
  for (auto &[Id, State] : this->Services)
    this->serve(State);
}

void StatementDispatcher::onFailure(const SharedCall &Call,
                                    const ReplyFailure &Failure,
                                    StatementReply Reply) {
  TimePoint Now = this->Clock.now();
  SessionContext &Session = *Call->Session;
  bool Running = Session.State.transaction() == SessionTransaction::Running;
  bool NotRun = provesMemberDidNotRun(Failure.Code);
  if (NotRun && Call->StatementSent)
    --Call->PossibleRuns;
  this->recordFailure(Call, currentAttempt(*Call), Failure.Code);
  if (!Running) {
    this->releaseLink(Call);
    // A refusal for lack of capacity doesn't count as an attempt: the deadline
    // and the queue bound the number of these.
    if (Failure.Code == ReplyError::Busy)
      --Call->Attempts;
    if (NotRun)
      return this->retry(Call, false, toString(Failure.Code));
    FailedAttempt Seen{
        .Error = Failure.Code,
        .Repeatable = !Session.State.inTransaction() && !Call->LastingEffect,
        .AttemptsLeft = Call->Attempts < this->Options.MaxAttempts};
    if (Call->Outstanding.empty() &&
        shouldRunElsewhere(
            Seen, this->Services[Call->Route.Service].FailedReadBudget)) {
      Call->FailedReply = std::move(Reply);
      return this->retry(Call, true, "failed");
    }
    if (Call->Outstanding.empty())
      return this->deliver(Call, std::move(Reply));
    Call->MayHaveRun = true;
    // The member has answered, so the deadline must not count it as silent.
    Call->StatementSent = false;
    Call->FailedReply = std::move(Reply);
    return this->awaitOutstanding(Call);
  }
  bool Open = Reply.Transaction == TransactionStatus::Open;
  // The transaction keeps its link and retries with exponential back-off.
  Duration Backoff =
      this->Options.InitialBusyBackoff * (1U << Call->BusyRefusals);
  if (Failure.Code == ReplyError::Busy && Open &&
      Call->Terms.Deadline - Now > 2 * Backoff) {
    Call->BusyRefusals = std::min(Call->BusyRefusals + 1, MaxBusyDoublings);
    auto RetryTimer = std::make_shared<asio::steady_timer>(this->Exec, Backoff);
    RetryTimer->async_wait(
        [this, Call, RetryTimer](const boost::system::error_code &) {
          if (Call->Finished)
            return;
          if (!Call->Link->idle())
            return this->onLinkLost(Call);
          this->sendStatement(Call);
        });
    return;
  }
  bool Ends = Call->Request.Kind == StatementKind::Commit;
  if (Ends || !Open || provesNotCommitted(Failure.Code))
    this->endTransaction(Call, !Ends);
  this->deliver(Call, std::move(Reply));
}

void StatementDispatcher::endTransaction(const SharedCall &Call, bool Failed) {
  SessionContext &Session = *Call->Session;
  if (Failed)
    Session.State.onTransactionFailed();
  else
    Session.State.onTransactionEnded();
  this->rollBack(Call->Session);
}

void StatementDispatcher::onLinkLost(const SharedCall &Call) {
  SessionContext &Session = *Call->Session;
  bool Running = Session.State.transaction() == SessionTransaction::Running;
  bool StatementSent = Call->StatementSent;
  this->releaseLink(Call);
  if (Call->Finished)
    return;
  if (StatementSent && Call->LastingEffect) {
    if (Running)
      this->endTransaction(Call, false);
    return this->refuse(
        Call, ReplyError::InDoubt,
        "the connection to the member closed before its reply arrived",
        Duration{0});
  }
  Call->MayHaveRun = Call->MayHaveRun || StatementSent;
  if (!Running)
    return this->retry(Call, true, "link_ended");
  this->endTransaction(Call, Call->Request.Kind != StatementKind::Commit);
  this->refuse(Call, ReplyError::Aborted,
               "the transaction's connection to its member closed",
               this->Options.RetryAfter);
}

void StatementDispatcher::retry(const SharedCall &Call, bool ExcludeMember,
                                std::string_view Cause) {
  // A statement that needs the primary doesn't exclude it: no other member can
  // execute it, and the next attempt may succeed.
  if (ExcludeMember && !Call->NeedsPrimary)
    Call->Excluded.push_back(Call->Pool->member().Id);
  Call->Link.reset();
  Call->StatementSent = false;
  Call->HedgeTimer.cancel();
  writeDecision(DecisionLine("retry")
                    .field("request", Call->Request.Id)
                    .field("member", Call->Pool->member().Id.Value)
                    .field("cause", Cause)
                    .field("attempts", Call->Attempts));
  bool LastAttempt = Call->Attempts >= this->Options.MaxAttempts;
  if (LastAttempt && !Call->Outstanding.empty())
    return;
  if (LastAttempt)
    return this->refuse(Call, ReplyError::Busy, "all attempts failed",
                        this->Options.RetryAfter);
  ServiceState &State = this->Services[Call->Route.Service];
  this->pushToQueue(State, Call);
  this->scheduleWake();
  this->serve(State);
}

void StatementDispatcher::releaseLink(const SharedCall &Call) {
  endAtMember(*Call, std::nullopt);
  if (!Call->Link)
    return;
  auto Link = std::move(Call->Link);
  Call->Link.reset();
  if (Call->Session->PinnedLink == Link) {
    Call->Session->PinnedLink.reset();
    Call->Session->PinnedPool.reset();
  }
  Call->Pool->release(Link, this->Clock.now());
  asio::post(this->Exec, [this, Service = Call->Route.Service] {
    this->serve(this->Services[Service]);
  });
}

void StatementDispatcher::rollBack(
    const std::shared_ptr<SessionContext> &Session) {
  auto Link = std::move(Session->PinnedLink);
  auto Pool = std::move(Session->PinnedPool);
  Session->PinnedLink.reset();
  Session->PinnedPool.reset();
  if (!Link)
    return;
  if (!Link->idle() || Link->transactionStatus() == TransactionStatus::None)
    return Pool->release(Link, this->Clock.now());
  Link->run(Session->Account, encodeRollback(),
            [this, Link, Pool](const Outcome<StatementReply> &) {
              Pool->release(Link, this->Clock.now());
            });
}

void StatementDispatcher::abandon(const SharedCall &Call) {
  if (Call->Finished)
    return;
  logAbandoned(*Call, this->Clock.now());
  Call->Finished = true;
  if (!hasUnanswered(*Call))
    Call->Timer.cancel();
  Call->HedgeTimer.cancel();
}

void StatementDispatcher::closeUnanswered(const SharedCall &Call) {
  Call->Outstanding.close(this->Clock.now());
  if (Call->Link && Call->awaitsReply())
    Call->Link->close();
}

void StatementDispatcher::onDeadline(const SharedCall &Call) {
  if (Call->Finished)
    return this->closeUnanswered(Call);
  bool Queued = !Call->Link;
  bool Running =
      Call->Session->State.transaction() == SessionTransaction::Running;
  bool Tried = Call->MayHaveRun || !Call->Outstanding.empty();
  Call->Outstanding.close(this->Clock.now());
  if (Tried && !Call->StatementSent && !Running)
    return this->refuse(Call, ReplyError::TimedOut,
                        "no member replied before the deadline", Duration{0});
  if (Call->StatementSent || Running) {
    Call->Pool->onUnanswered(this->Clock.now());
    bool InDoubt = Call->StatementSent && Call->LastingEffect;
    if (Running) {
      if (Call->Link)
        Call->Link->close();
      this->endTransaction(Call, Call->Request.Kind != StatementKind::Commit);
    } else if (Call->Link) {
      Call->Link->close();
    }
    return this->refuse(
        Call, InDoubt ? ReplyError::InDoubt : ReplyError::TimedOut,
        "the member did not reply before the deadline", Duration{0});
  }
  this->refuse(Call, ReplyError::Busy,
               Queued
                   ? "no member had capacity before the deadline"
                   : "no connection to a member was ready before the deadline",
               this->Options.RetryAfter);
}

void StatementDispatcher::refuse(const SharedCall &Call, ReplyError Code,
                                 std::string_view Reason, Duration RetryAfter) {
  if (Call->FailedReply)
    return this->deliver(Call, std::move(*Call->FailedReply));
  if (Call->MayHaveRun && provesMemberDidNotRun(Code))
    Code = ReplyError::InDoubt;
  StatementReply Reply;
  Reply.Failure = ReplyFailure{.Code = Code,
                               .UpstreamCode = {},
                               .Text = refusalText(Code, Reason, RetryAfter)};
  if (Call->Request.Kind == StatementKind::Commit)
    Call->Session->State.onTransactionEnded();
  else
    Call->Session->State.onTransactionFailed();
  this->deliver(Call, std::move(Reply));
}

void StatementDispatcher::deliver(const SharedCall &Call,
                                  StatementReply Reply) {
  if (Call->Finished)
    return;
  Call->Finished = true;
  if (!hasUnanswered(*Call))
    Call->Timer.cancel();
  Call->HedgeTimer.cancel();
  Reply.Transaction = Call->Session->State.transactionStatus();
  if (Reply.Failure)
    logFailedReply(*Call, *Reply.Failure, this->Clock.now());
  Call->OnReply(std::move(Reply));
}

std::optional<PrimarySample>
StatementDispatcher::newestSample(const ServiceId &Service,
                                  std::uint64_t Epoch) const {
  auto State = this->Services.find(Service);
  if (State == this->Services.end() || State->second.Freshness.epoch() != Epoch)
    return std::nullopt;
  return State->second.Freshness.newest();
}

void StatementDispatcher::onSample(const ServiceId &Service,
                                   std::uint64_t Epoch,
                                   const PrimarySample &Sample) {
  auto State = this->Services.find(Service);
  if (State != this->Services.end())
    State->second.Freshness.onPrimaryAnswer(Epoch, Sample.Reached,
                                            Sample.AskedAt);
}

void StatementDispatcher::maintain(bool SamplesForOthers) {
  TimePoint Now = this->Clock.now();
  for (auto &[Id, State] : this->Services) {
    for (auto &[Member, Pool] : State.Pools)
      Pool->closeExtraIdle(Now);
    this->requestSample(State, SamplesForOthers, Now);
  }
  this->onLeasesChanged();
}

void StatementDispatcher::requestSample(ServiceState &State,
                                        bool SamplesForOthers, TimePoint Now) {
  auto Lease = this->LeaseOf(State.Id);
  if (!Lease || Lease->ExpiresAt <= Now)
    return;
  auto Found = State.Pools.find(Lease->Primary);
  if (Found == State.Pools.end() || Now < Found->second->backoffUntil())
    return;
  SampleKnowledge Known{.NewestIsCurrent =
                            State.Freshness.epoch() == Lease->Epoch,
                        .RequestedAt = State.SampleRequestedAt,
                        .SampledForOthers = SamplesForOthers,
                        .HasIdleLink = Found->second->idleLinkCount() > 0};
  if (auto Newest = State.Freshness.newest())
    Known.NewestAskedAt = Newest->AskedAt;
  if (State.Ages)
    Known.StrictestAge = State.Ages->Strictest;
  if (!needsSample(this->Options.Samples, Known, Now))
    return;
  State.SampleRequestedAt = Now;
  Found->second->queryStatus([this, Epoch = Lease->Epoch, Service = State.Id](
                                 const std::optional<MemberReport> &Report,
                                 TimePoint SentAt) {
    if (Report && this->holdsLease(Service, Epoch))
      this->Services[Service].Freshness.onPrimaryAnswer(Epoch, Report->Received,
                                                        SentAt);
  });
}

} // namespace turmericpitch
