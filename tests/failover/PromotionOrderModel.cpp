#include "tests/failover/PromotionOrderModel.h"

#include <algorithm>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;

constexpr int Ticks = 600;
constexpr Duration Tick = milliseconds(100);
constexpr Duration ClosingWait = milliseconds(900);
constexpr Duration CallTimeout = milliseconds(1000);
/// Longest time between the arrival of an order and its effect.
constexpr Duration LongestEffect = milliseconds(1000);
constexpr Duration TakeOverAfter = milliseconds(3500);
/// Time between the write that announces an order and the end of its call.
constexpr Duration LongestOrder = milliseconds(1300);
constexpr PromotionOrdersOptions OrderOptions;

} // namespace

Duration PromotionOrderModel::upTo(Duration Longest) {
  return Tick *
         this->Random.nextBelow(static_cast<std::uint32_t>(Longest / Tick) + 1);
}

PromotionOrderModel::Member &PromotionOrderModel::primary() {
  return *std::ranges::find(this->Members, this->Record.Primary, &Member::Id);
}

void PromotionOrderModel::recordStep(const std::string &Text) {
  this->Steps +=
      "\n" +
      std::to_string((this->Now - TimePoint(std::chrono::hours(1))) / Tick) +
      " " + Text;
}

void PromotionOrderModel::disturb() {
  Member &Each = this->Members[this->Random.nextBelow(MemberCount)];
  if (this->chance(Each.Cut ? 30 : 60)) {
    Each.Cut = !Each.Cut;
    this->recordStep((Each.Cut ? "cut " : "healed ") + Each.Id.Value);
  }
  if (this->chance(Each.Running ? 100 : 20)) {
    this->recordStep((Each.Running ? "ends " : "restarts ") + Each.Id.Value);
    if (Each.Running)
      Each.Running = false;
    else
      this->restart(Each);
  }
  if (this->Active && this->chance(60)) {
    this->recordStep("promoter ends");
    this->Active.reset();
  }
}

void PromotionOrderModel::restart(Member &Each) {
  Each.Running = true;
  // It is a replica if another member was promoted.
  if (Each.Id != this->Members[this->Present].Id)
    Each.Leads.reset();
}

void PromotionOrderModel::replicate() {
  Member &From = this->Members[this->Present];
  if (!this->reachable(From))
    return;
  for (Member &Each : this->Members) {
    // A former primary follows within a second of reaching the new one.
    if (!this->reachable(Each) || &Each == &From || this->chance(5))
      continue;
    Each.Leads.reset();
    Each.Known = From.Known;
    Each.End = From.End;
  }
}

void PromotionOrderModel::takeEffect() {
  for (PendingOrder &Each : this->Pending) {
    if (!Each.Arrived && this->Now >= Each.ArrivesAt) {
      Each.Arrived = true;
      // Nothing changes for the present primary.
      if (Each.Target == this->Present)
        Each.EffectAt = TimePoint::max();
    }
    if (!Each.Arrived || this->Now < Each.EffectAt)
      continue;
    Each.EffectAt = TimePoint::max();
    Member &Target = this->Members[Each.Target];
    if (!Target.Running)
      continue;
    this->Present = Each.Target;
    ++this->Newest.Value;
    Target.Leads = Target.Known = this->Newest;
    this->Events.Unseen += Target.Cut ? 1 : 0;
    this->recordStep(Target.Id.Value + " leads term " +
                     std::to_string(this->Newest.Value));
  }
}

void PromotionOrderModel::begin() {
  Promoter Next;
  if (this->Record.Phase == PrimaryPhase::Open) {
    bool Lost = !this->reachable(this->primary());
    if (!Lost && !this->chance(60))
      return;
    // Replicas may find a primary silent that has just returned.
    Next.Reason = Lost              ? FailoverReason::Lost
                  : this->chance(2) ? FailoverReason::Backlog
                  : this->chance(2) ? FailoverReason::Leaving
                                    : FailoverReason::Lost;
    this->Record.Phase = PrimaryPhase::Closing;
    this->Record.Target = {};
  } else if (this->Now - this->RecordWrittenAt < TakeOverAfter) {
    return;
  } else {
    ++this->Events.TakeOvers;
    this->takeOver(Next);
  }
  Next.Until = this->Now + ClosingWait;
  this->RecordWrittenAt = this->Now;
  this->recordStep("closing, " + std::string(toString(Next.Reason)));
  this->Active = std::move(Next);
}

void PromotionOrderModel::takeOver(Promoter &P) {
  if (this->Record.Phase != PrimaryPhase::Ordered ||
      this->Options.Fault == OrderFault::ForgetsInheritedOrders)
    return;
  GivenOrder Order{.Target = this->Record.Target,
                   .EndedAt = this->RecordWrittenAt + LongestOrder};
  if (this->Record.KnownTerm != Term{})
    Order.Before = this->Record.KnownTerm;
  P.Orders.add(Order);
}

void PromotionOrderModel::ask(Promoter &P) {
  for (std::size_t Index = 0; Index < MemberCount; ++Index) {
    const Member &Each = this->Members[Index];
    if (!this->reachable(Each) || this->chance(3))
      continue;
    P.Replies[Index] = ReplicaState{
        .Id = Each.Id,
        .Report = LogReport{.Received = Each.End, .ReceivedAt = this->Now},
        .Leads = Each.Leads.has_value()};
    std::erase_if(P.Terms, [&](const TermReport &Known) {
      return Known.Member == Each.Id;
    });
    P.Terms.push_back({.Member = Each.Id,
                       .Leads = Each.Leads.has_value(),
                       .Newest = Each.Known});
  }
}

SuccessorSearch PromotionOrderModel::searchOf(const Promoter &P) const {
  SuccessorSearch Search;
  Search.Reason = P.Reason;
  Search.SynchronousReplicas = this->Options.SynchronousReplicas;
  Search.Orders = P.Orders;
  Search.FormerPrimary = this->Record.Primary;
  Search.Terms = P.Terms;
  Search.BeganAt = Search.ClosedAt = P.SearchBeganAt;
  Search.ListedAt = this->Now;
  for (std::size_t Index = 0; Index < MemberCount; ++Index) {
    ReplicaState Each =
        P.Replies[Index].value_or(ReplicaState{.Id = this->Members[Index].Id});
    Each.Refused = P.Refused[Index];
    bool Former = Each.Id == this->Record.Primary;
    if (Former && Each.Report)
      Search.Former = Each;
    if (Former && Each.Leads && isPlanned(P.Reason))
      Search.PrimaryPosition = Each.Report->Received;
    if (!Former || (Each.Report && !isPlanned(P.Reason)))
      Search.Replicas.push_back(Each);
  }
  if (this->Options.Fault == OrderFault::KeepsDespiteOrders)
    Search.Orders = PromotionOrders();
  return Search;
}

void PromotionOrderModel::search(Promoter &P) {
  this->ask(P);
  for (const TermReport &Each : P.Terms)
    if (this->openIfInEffect(Each))
      return;
  SuccessorDecision Decision =
      decideSuccessor({}, this->searchOf(P), this->Now);
  if (Decision.Action == SuccessorAction::KeepPrimary) {
    ++this->Events.Kept;
    return this->open(this->Record.Primary, this->Record.KnownTerm, false);
  }
  if (Decision.Action == SuccessorAction::Promote)
    return this->order(P, Decision.Target);
  if (this->Now >= P.Until) {
    this->recordStep("promoter gives up");
    this->Active.reset();
  }
}

void PromotionOrderModel::order(Promoter &P, const UpstreamId &Target) {
  OrderFault Fault = this->Options.Fault;
  auto Found = std::ranges::find(this->Members, Target, &Member::Id);
  if (this->chance(8)) {
    Found->Running = false;
    this->recordStep("ends " + Target.Value);
  }
  this->Record.Phase = PrimaryPhase::Ordered;
  this->Record.Target = Target;
  this->RecordWrittenAt = this->Now;
  GivenOrder Given{.Target = Target, .Before = this->Record.KnownTerm};
  for (const TermReport &Each : P.Terms)
    Given.Before = std::max(*Given.Before, Each.Newest);
  this->Record.KnownTerm = this->chance(4) ? Term{} : *Given.Before;
  Given.Fate = this->chance(8)   ? OrderFate::NotSent
               : this->chance(6) ? OrderFate::Unknown
               : Found->Running  ? OrderFate::Taken
                                 : OrderFate::Refused;
  bool Lost = Given.Fate == OrderFate::Unknown;
  Given.EndedAt = this->Now + (Lost ? CallTimeout : Duration{0});
  bool Arrives = Given.Fate == OrderFate::Taken || (Lost && this->chance(2));
  if (Arrives && Found->Running) {
    TimePoint ArrivesAt =
        this->Now + (Lost ? this->upTo(CallTimeout) : Duration{0});
    this->Pending.push_back(
        {.Target = static_cast<std::size_t>(Found - this->Members.begin()),
         .ArrivesAt = ArrivesAt,
         .EffectAt = ArrivesAt + Tick + this->upTo(LongestEffect - Tick)});
  }
  this->recordStep("orders " + Target.Value + ": " +
                   std::string(toString(Given.Fate)));
  this->Events.LostOrders += Lost ? 1 : 0;
  if (Given.Fate == OrderFate::Refused) {
    ++this->Events.Refusals;
    P.Refused[static_cast<std::size_t>(Found - this->Members.begin())] = true;
    if (Fault == OrderFault::ForgetsOrdersAfterRefusal)
      P.Orders = PromotionOrders();
  }
  if (Lost && Fault == OrderFault::TrustsLostOrders)
    Given.Fate = OrderFate::Taken;
  if (Lost && Fault == OrderFault::ForgetsLostOrders)
    Given.Fate = OrderFate::NotSent;
  if (Fault == OrderFault::OrdersAtOnce)
    Given.EndedAt -= OrderOptions.EffectTimeout;
  P.Orders.add(Given);
  bool Awaits = P.Orders.decisive() && P.Orders.decisive()->Target == Target;
  // A target whose entry vanishes isn't awaited.
  if (!Awaits || this->chance(4))
    return;
  P.At = Step::Awaiting;
  P.Until = Given.EndedAt + OrderOptions.EffectTimeout;
}

bool PromotionOrderModel::isInEffect(const Promoter &P,
                                     const TermReport &Report) const {
  OrderFault Fault = this->Options.Fault;
  if (Fault == OrderFault::CountsAnyLeader)
    return P.Orders.decisive() && Report.Leads &&
           Report.Member == P.Orders.decisive()->Target;
  PromotionOrders Orders = P.Orders;
  if (Fault == OrderFault::TrustsOldLeadersAtOnce && Orders.decisive()) {
    Orders = PromotionOrders({.EffectTimeout = Duration{0}});
    Orders.add(*P.Orders.decisive());
  }
  return Orders.isInEffect(Report);
}

bool PromotionOrderModel::openIfInEffect(const TermReport &Report) {
  if (!this->isInEffect(*this->Active, Report))
    return false;
  ++this->Events.Promotions;
  this->Events.Renewals += Report.Member == this->Record.Primary ? 1 : 0;
  this->open(Report.Member, Report.Newest, true);
  return true;
}

void PromotionOrderModel::open(const UpstreamId &Primary, Term Led,
                               bool Promoted) {
  this->Record.Phase = PrimaryPhase::Open;
  this->Record.Primary = Primary;
  this->Record.Epoch += Promoted ? 1 : 0;
  // Builds before this one store no term.
  this->Record.KnownTerm = this->chance(4) ? Term{} : Led;
  this->RecordWrittenAt = this->Now;
  this->recordStep("opens for " + Primary.Value);
  this->Active.reset();
}

void PromotionOrderModel::advance() {
  Promoter &P = *this->Active;
  if (P.At == Step::Searching)
    return this->search(P);
  if (P.At == Step::Closing && this->Now >= P.Until) {
    P.At = Step::Searching;
    P.SearchBeganAt = this->Now;
    P.Until = this->Now + milliseconds(8000);
    return;
  }
  if (P.At != Step::Awaiting)
    return;
  const UpstreamId &Target = P.Orders.decisive()->Target;
  const Member &Asked = *std::ranges::find(this->Members, Target, &Member::Id);
  if (this->reachable(Asked) &&
      this->openIfInEffect({.Member = Target,
                            .Leads = Asked.Leads.has_value(),
                            .Newest = Asked.Known,
                            .AskedAt = this->Now}))
    return;
  if (this->Now < P.Until)
    return;
  P.At = Step::Searching;
  P.SearchBeganAt = this->Now;
  P.Until = this->Now + milliseconds(8000);
}

std::optional<std::string> PromotionOrderModel::violation() const {
  if (this->Record.Phase != PrimaryPhase::Open)
    return std::nullopt;
  auto At = std::ranges::find(this->Members, this->Record.Primary, &Member::Id);
  if (!this->reachable(*At) || !At->Leads || *At->Leads == this->Newest)
    return std::nullopt;
  return At->Id.Value + " is written to in term " +
         std::to_string(At->Leads->Value) + this->Steps;
}

std::optional<std::string> PromotionOrderModel::run() {
  constexpr std::array<const char *, MemberCount> Names{"a", "b", "c"};
  for (std::size_t Index = 0; Index < MemberCount; ++Index)
    this->Members[Index].Id = {Names[Index]};
  this->Members[0].Leads = this->Newest;
  this->Record = {.Service = {"ledger"},
                  .Epoch = 1,
                  .Primary = this->Members[0].Id,
                  .KnownTerm = this->Newest};
  for (int Each = 0; Each < Ticks; ++Each) {
    this->Now += Tick;
    this->disturb();
    if (this->Active)
      this->disturb();
    this->takeEffect();
    this->replicate();
    if (auto Broken = this->violation())
      return Broken;
    Member &At = this->primary();
    if (this->Record.Phase == PrimaryPhase::Open && this->reachable(At) &&
        At.Leads)
      At.End = {.WrittenIn = *At.Leads,
                .Position = {At.End.Position.Value + 1}};
    if (this->Active)
      this->advance();
    else
      this->begin();
    if (auto Broken = this->violation())
      return Broken;
  }
  return std::nullopt;
}

} // namespace turmericpitch
