#include "drivers/HttpFailoverCoordinator.h"

#include "core/DecisionLog.h"
#include "drivers/Mailbox.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <set>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration PromotionTimeout = std::chrono::seconds(2);

const DatabaseMember *memberOf(const Database &Target, const UpstreamId &Id) {
  auto Found =
      std::find_if(Target.Members.begin(), Target.Members.end(),
                   [&](const DatabaseMember &M) { return M.Id == Id; });
  return Found == Target.Members.end() ? nullptr : &*Found;
}

void logStep(const Database &Target, const Promotion &Attempt) {
  writeDecision(DecisionLine("promote")
                    .field("database", Target.Id.Value)
                    .field("term", Attempt.term().Value)
                    .field("step", toString(Attempt.step()))
                    .field("upstream", Attempt.successor().Value));
}

/// A member's outcome while a promotion runs.
struct PromotionArrival {
  UpstreamId From;
  Outcome<MemberAnswer> Answer;
};

} // namespace

HttpFailoverCoordinator::HttpFailoverCoordinator(
    Executor Exec, HttpFailoverCoordinatorOptions Options,
    std::shared_ptr<MemberPool> ControlPool,
    std::shared_ptr<UpstreamController> Upstreams)
    : Exec(std::move(Exec)), Options(std::move(Options)),
      ControlPool(std::move(ControlPool)), Upstreams(std::move(Upstreams)) {}

void HttpFailoverCoordinator::onConfigured(
    const std::vector<Database> &Databases) {
  std::set<DatabaseId> Wanted;
  std::lock_guard Lock(this->Mutex);
  for (const Database &Target : Databases) {
    Wanted.insert(Target.Id);
    auto Found = this->Loops.find(Target.Id);
    if (Found != this->Loops.end() && Found->second.Target == Target)
      continue;
    if (Found != this->Loops.end())
      this->endLoop(Found->second);
    auto Own = std::make_shared<Watch>();
    this->Loops.insert_or_assign(Target.Id, Loop{.Target = Target, .Own = Own});
    this->Watches.update(Target.Id, [&](SharedWatch &Slot) { Slot = Own; });
    auto Self = this->shared_from_this();
    asio::co_spawn(
        asio::make_strand(this->Exec),
        [Self, Target, Own]() -> Awaitable<void> {
          co_await Self->watchDatabase(Target, Own);
        },
        asio::detached);
  }
  for (auto At = this->Loops.begin(); At != this->Loops.end();) {
    if (Wanted.contains(At->first)) {
      ++At;
      continue;
    }
    this->endLoop(At->second);
    this->Watches.erase(At->first);
    At = this->Loops.erase(At);
  }
}

void HttpFailoverCoordinator::endLoop(const Loop &Ended) {
  Ended.Own->Ended = true;
  Ended.Own->Wake.notify();
}

void HttpFailoverCoordinator::stop() {
  std::lock_guard Lock(this->Mutex);
  for (auto &[Id, Each] : this->Loops)
    this->endLoop(Each);
}

void HttpFailoverCoordinator::onStatement(const DatabaseId &Id) {
  SharedWatch Own = this->Watches.read(
      Id, [](const SharedWatch *Slot) { return Slot ? *Slot : SharedWatch{}; });
  if (!Own)
    return;
  Duration Now = this->Time.now().time_since_epoch();
  Duration Before(Own->LastStatement.exchange(Now.count()));
  // The loop of an active database already runs at the active interval.
  if (Now - Before >= this->Options.Probes.ActivityTimeout)
    Own->Wake.notify();
}

Awaitable<void> HttpFailoverCoordinator::watchDatabase(Database Target,
                                                       SharedWatch Own) {
  PrimaryFailureDetector Detector(this->Options.Detector);
  ProbeSchedule Schedule(this->Options.Probes);
  // A newly configured database is checked soon, active or not.
  bool First = true;
  while (!Own->Ended) {
    std::uint64_t Seen = Own->Wake.generation();
    if (Duration::rep Last = Own->LastStatement)
      Schedule.onStatement(TimePoint(Duration(Last)));
    TimePoint Now = this->Time.now();
    auto Rank = this->Options.RankOf(Target.Id);
    if (SharedDatabaseView View = this->Upstreams->view(Target.Id))
      for (const DatabaseMember &Member :
           Schedule.membersToProbe(*View, Rank.has_value(), Now))
        this->probe(Target.Id, Member);
    Duration Pause = First ? this->Options.Probes.ActiveInterval
                           : Schedule.probeInterval(Now);
    First = false;
    co_await Own->Wake.wait(Seen, Pause);
    if (!Own->Ended)
      co_await this->checkPrimary(Target, Detector, Rank);
  }
}

Awaitable<void>
HttpFailoverCoordinator::checkPrimary(const Database &Target,
                                      PrimaryFailureDetector &Detector,
                                      std::optional<std::size_t> Rank) {
  SharedDatabaseView View = this->Upstreams->view(Target.Id);
  if (!View || !Target.PromotionAllowed)
    co_return;
  // Instances without the duty to promote rank last: they promote only when all
  // instances with the duty are gone.
  std::size_t Place = Rank.value_or(PromoterCount);
  PrimaryDecision Decision = Detector.evaluate(*View, Place, this->Time.now());
  if (Decision != PrimaryDecision::Wait)
    co_await this->promote(Target, View->newestTerm(), Decision);
}

Awaitable<Outcome<MemberAnswer>>
HttpFailoverCoordinator::call(DatabaseId Id, DatabaseMember Member,
                              MemberRequest Request) {
  TimePoint SentAt = this->Time.now();
  auto Connection = co_await this->ControlPool->acquire(
      Member.Where, this->Options.ProbeTimeout);
  if (!Connection) {
    this->Upstreams->onFailure(Id, Member.Id, this->Time.now());
    co_return Connection.error();
  }
  auto Answer = co_await (*Connection.value())
                    ->call(std::move(Request), this->Options.ProbeTimeout);
  if (Answer)
    this->Upstreams->onStatus(Id, Answer.value().Status, SentAt);
  else if (Answer.error().Kind != ErrorKind::Superseded)
    this->Upstreams->onFailure(Id, Member.Id, this->Time.now());
  co_return Answer;
}

void HttpFailoverCoordinator::probe(const DatabaseId &Id,
                                    const DatabaseMember &Member) {
  auto Self = this->shared_from_this();
  auto Ask = [Self, Id, Member]() -> Awaitable<void> {
    MemberRequest Request = StatusRequest{};
    auto Answer = co_await Self->call(Id, Member, std::move(Request));
    if (!Answer)
      co_return;
    // Notifies a member that missed a promotion which primary to follow.
    SharedDatabaseView View = Self->Upstreams->view(Id);
    const MemberView *Primary = View ? View->primary() : nullptr;
    bool Outdated = Primary && Answer.value().Status.AcceptedTerm <
                                   Primary->Last->AcceptedTerm;
    if (!Outdated)
      co_return;
    MemberRequest Follow =
        FollowRequest{.NextTerm = Primary->Last->AcceptedTerm,
                      .Primary = Primary->Configured.Id};
    writeDecision(DecisionLine("follow")
                      .field("database", Id.Value)
                      .field("upstream", Member.Id.Value)
                      .field("primary", Primary->Configured.Id.Value));
    co_await Self->call(Id, Member, std::move(Follow));
  };
  asio::co_spawn(asio::make_strand(this->Exec), Ask, asio::detached);
}

template <typename Round>
Awaitable<void> HttpFailoverCoordinator::runRound(const Database &Target,
                                                  Round &Running,
                                                  Duration Timeout) {
  auto Inbox = std::make_shared<Mailbox<PromotionArrival>>();
  auto Self = this->shared_from_this();
  auto Send = [&](std::vector<MemberCall> Calls) {
    for (MemberCall &Call : Calls) {
      const DatabaseMember *Member = memberOf(Target, Call.Target);
      if (!Member)
        continue;
      auto Ask = [Self, Inbox, Id = Target.Id, To = *Member,
                  Request = Call.Request]() -> Awaitable<void> {
        auto Answer = co_await Self->call(Id, To, Request);
        PromotionArrival Arrival{.From = To.Id, .Answer = Answer};
        Inbox->put(std::move(Arrival));
      };
      asio::co_spawn(asio::make_strand(Self->Exec), Ask, asio::detached);
    }
  };
  Send(Running.begin());
  TimePoint Deadline = this->Time.now() + Timeout;
  while (!Running.over()) {
    TimePoint Now = this->Time.now();
    if (Now >= Deadline)
      co_return;
    auto Arrived = co_await Inbox->takeAll(Deadline - Now);
    for (const PromotionArrival &Each : Arrived)
      Send(Running.onOutcome(Each.From, Each.Answer));
  }
}

Awaitable<bool> HttpFailoverCoordinator::mayPromote(const Database &Target,
                                                    Term Newest) {
  PromotionCheckOptions CheckOptions;
  CheckOptions.Newest = Newest;
  PromotionCheck Check(Target, CheckOptions);
  co_await this->runRound(Target, Check, this->Options.ProbeTimeout * 2);
  writeDecision(DecisionLine("promotion_check")
                    .field("database", Target.Id.Value)
                    .field("term", Newest.Value)
                    .field("verdict", toString(Check.decision())));
  co_return Check.decision() == PromotionCheckDecision::Proceed;
}

Awaitable<void> HttpFailoverCoordinator::promote(const Database &Target,
                                                 Term Newest,
                                                 PrimaryDecision Cause) {
  bool Lost = Cause == PrimaryDecision::Promote;
  if (Lost && !co_await this->mayPromote(Target, Newest))
    co_return;
  std::string Attempt = this->Options.Self.Value + "-" + this->Options.StartId +
                        "-" + std::to_string(this->Attempts++);
  Promotion Running(Target, Term{Newest.Value + 1}, Attempt);
  logStep(Target, Running);
  co_await this->runRound(Target, Running, PromotionTimeout);
  logStep(Target, Running);
}

} // namespace turmericpitch
