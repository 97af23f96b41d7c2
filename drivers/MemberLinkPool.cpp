#include "drivers/MemberLinkPool.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"
#include "limits/LinkEviction.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Divisor of the moving average: each new observation contributes 1/8.
constexpr int ObservationDivisor = 8;

void countLink(std::string_view Event) {
  processMetrics().count("member_links_total", Event);
}

Duration doubled(Duration Backoff, Duration Initial, Duration Max) {
  return Backoff == Duration{0} ? Initial : std::min(Max, 2 * Backoff);
}

} // namespace

MemberLinkPool::MemberLinkPool(boost::asio::any_io_executor Exec,
                               const InstanceId &Self, RegisteredMember Member,
                               ConnectionAllowanceOptions Allowance,
                               std::shared_ptr<const AccountUse> Use,
                               MemberLinkPoolOptions Options)
    : Exec(std::move(Exec)), Member(std::move(Member)), Use(std::move(Use)),
      Options(Options), Allowance(Allowance),
      Retention(Options.Retention), Occupancy{.Limit = Allowance.MemberLimit,
                                              .Instances = Allowance.Instances,
                                              .Position = retentionPosition(
                                                  Self, this->Member.Id),
                                              .StartedAt = BootClock().now()},
      Concurrency(
          {.Max = this->Member.Slots, .Instances = Allowance.Instances}),
      ServiceTime(Options.InitialServiceTime) {}

MemberLinkPool::~MemberLinkPool() { this->dropIdle(); }

void MemberLinkPool::dropIdle() {
  for (const auto &Link : this->IdleLinks)
    Link->close();
  this->OpenCount -= this->IdleLinks.size();
  this->IdleLinks.clear();
}

void MemberLinkPool::onEntryChanged(const RegisteredMember &Now) {
  bool OtherProcess = Now.Where != this->Member.Where ||
                      Now.StartedAt != this->Member.StartedAt;
  this->Member = Now;
  if (OtherProcess) {
    this->Reached.reset();
    this->BackoffUntil = {};
  }
  if (OtherProcess || Now.Draining)
    this->dropIdle();
}

void MemberLinkPool::setAllowance(ConnectionAllowanceOptions Allowance) {
  this->Allowance.configure(Allowance);
  this->Occupancy.Limit = Allowance.MemberLimit;
  this->Occupancy.Instances = Allowance.Instances;
  this->Concurrency.setInstances(Allowance.Instances);
}

MemberCandidate MemberLinkPool::candidate(const ZoneId &OwnZone,
                                          const ClientAccountId &Account,
                                          TimePoint Now) const {
  std::size_t Allowed = this->Allowance.allowed(Now);
  std::size_t AvailableLinks =
      this->IdleLinks.size() +
      (Allowed > this->OpenCount ? Allowed - this->OpenCount : 0);
  return {.Id = this->Member.Id,
          .SameZone = this->Member.Zone == OwnZone,
          .Excluded = this->excluded(Now),
          .InFlight = this->InFlight,
          .MaxInFlight = std::min(this->Concurrency.allowed(Now),
                                  this->InFlight + AvailableLinks),
          .MaxInFlightUrgent = std::min(this->Concurrency.allowedUrgent(Now),
                                        this->InFlight + AvailableLinks),
          .Share = this->Concurrency.limit(),
          .Preferred = this->Occupancy.RelativeUse > 0 ||
                       !this->Retention.hasSmallShare(this->Occupancy),
          .HasIdleConnection = std::any_of(
              this->IdleLinks.begin(), this->IdleLinks.end(),
              [&](const auto &Link) { return Link->account() == Account; }),
          .TypicalServiceTime = this->ServiceTime,
          .FailureRate = this->FailureRate,
          .Reached = this->Reached,
          .LaggingUntil = this->LaggingUntil,
          .MissingPosition = this->MissingPosition};
}

void MemberLinkPool::eraseEndedIdle() {
  std::erase_if(this->IdleLinks, [this](const auto &Link) {
    if (Link->idle())
      return false;
    this->onLinkClosed();
    return true;
  });
}

std::shared_ptr<MemberLink> MemberLinkPool::takeIdleAt(std::size_t Index) {
  auto Link = this->IdleLinks[Index];
  this->IdleLinks.erase(this->IdleLinks.begin() +
                        static_cast<std::ptrdiff_t>(Index));
  Link->Pooled = false;
  Link->Reused = true;
  return Link;
}

std::shared_ptr<MemberLink>
MemberLinkPool::takeIdle(const ClientAccountId &Account,
                         const std::map<std::string, std::string> &Values) {
  this->eraseEndedIdle();
  std::size_t BestIndex = this->IdleLinks.size();
  std::size_t FewestSteps = SIZE_MAX;
  // Prefers the most recently used link, so that the others reach their idle
  // timeout.
  for (std::size_t Back = this->IdleLinks.size(); Back > 0; --Back) {
    if (this->IdleLinks[Back - 1]->account() != Account)
      continue;
    std::size_t Steps = this->IdleLinks[Back - 1]
                            ->SetupState.setupSteps(Values, nullptr)
                            .size();
    if (Steps < FewestSteps) {
      FewestSteps = Steps;
      BestIndex = Back - 1;
    }
  }
  if (BestIndex == this->IdleLinks.size())
    return nullptr;
  countLink("reused");
  this->UseHere.note(Account, this->Clock.now());
  return this->takeIdleAt(BestIndex);
}

std::vector<std::size_t> MemberLinkPool::rankedIdleLinks(TimePoint Now) const {
  std::vector<double> AccountWeights;
  AccountWeights.reserve(this->IdleLinks.size());
  for (const auto &Link : this->IdleLinks)
    AccountWeights.push_back(this->Use->weight(Link->account(), Now));
  return rankIdleConnections(AccountWeights);
}

void MemberLinkPool::evictForOpening() {
  this->eraseEndedIdle();
  TimePoint Now = this->Clock.now();
  if (this->IdleLinks.empty() || this->OpenCount < this->Allowance.allowed(Now))
    return;
  this->takeIdleAt(this->rankedIdleLinks(Now).back())->close();
  this->onLinkClosed();
  ++this->EvictedCount;
  countLink("evicted_for_account");
}

std::shared_ptr<MemberLink>
MemberLinkPool::openLink(const ClientAccountId &Account,
                         MemberLink::OpenHandler OnOpened) {
  this->evictForOpening();
  this->UseHere.note(Account, this->Clock.now());
  auto Link = std::make_shared<MemberLink>(this->Exec, this->Member, Account);
  std::erase_if(this->AllLinks,
                [](const auto &Each) { return Each.expired(); });
  this->AllLinks.push_back(Link);
  ++this->OpenCount;
  ++this->OpeningCount;
  ++this->OpenedCount;
  countLink("opened");
  this->onRequestSent();
  Link->open(this->Options.OpenTimeout,
             [Self = this->shared_from_this(),
              Handle = std::move(OnOpened)](LinkOpening Result) {
               Self->onOpeningEnded(Result);
               Handle(Result);
             });
  return Link;
}

void MemberLinkPool::onOpeningEnded(LinkOpening Result) {
  TimePoint Now = this->Clock.now();
  --this->OpeningCount;
  this->RefusesConnections = Result == LinkOpening::ConnectionRefused;
  if (Result == LinkOpening::Opened)
    return this->onAnswered(Now);
  this->onLinkClosed();
  std::size_t EstablishedLinks = this->OpenCount - this->OpeningCount;
  writeDecision(DecisionLine("link_not_opened")
                    .field("member", this->Member.Id.Value)
                    .field("cause", toString(Result))
                    .field("links", EstablishedLinks));
  bool AtLimit = Result == LinkOpening::RefusedAtLimit ||
                 (Result == LinkOpening::EndedEarly && EstablishedLinks > 0);
  if (!AtLimit)
    return this->onUnanswered(Now);
  countLink("refused_at_limit");
  // A member that rejects connections beyond its limit is reachable.
  this->onAnswered(Now);
  this->Allowance.onRefused(EstablishedLinks, Now);
  // Refused beside an open link, this instance has its share.
  if (EstablishedLinks == 0)
    this->Occupancy.RefusedAt = Now;
}

void MemberLinkPool::release(const std::shared_ptr<MemberLink> &Link,
                             TimePoint Now) {
  if (Link->Pooled)
    return;
  Link->Pooled = true;
  bool SameProcess = Link->member().Where == this->Member.Where &&
                     Link->member().StartedAt == this->Member.StartedAt;
  bool Keep = Link->idle() &&
              Link->transactionStatus() == TransactionStatus::None &&
              SameProcess && !this->Member.Draining;
  if (!Keep) {
    Link->close();
    return this->onLinkClosed();
  }
  Link->IdleSince = Now;
  this->IdleLinks.push_back(Link);
  // Whether a new link may stay depends on the member's room. The link that
  // asks for it is released again with the reply.
  if (!Link->Reused)
    this->renewReport(Now);
  if (Link->Pooled)
    this->closeUnlessKept(Link, Now);
}

void MemberLinkPool::closeUnlessKept(const std::shared_ptr<MemberLink> &Link,
                                     TimePoint Now) {
  auto Found = std::find(this->IdleLinks.begin(), this->IdleLinks.end(), Link);
  // The status query that release() sent on it has failed at once.
  if (Found == this->IdleLinks.end())
    return;
  auto Index = static_cast<std::size_t>(Found - this->IdleLinks.begin());
  std::vector<std::size_t> Ranked = this->rankedIdleLinks(Now);
  auto Rank = static_cast<std::size_t>(
      std::find(Ranked.begin(), Ranked.end(), Index) - Ranked.begin());
  if (this->Retention.keepsIdle(this->occupancy(Now), Rank,
                                this->UseHere.share(Link->account(), Now), Now))
    return;
  this->IdleLinks.erase(Found);
  Link->close();
  this->onLinkClosed();
  countLink("closed_for_room");
}

void MemberLinkPool::renewReport(TimePoint Now) {
  if (this->IdleLinks.empty() || this->StatusQueryRunning ||
      !this->Retention.hasSmallShare(this->Occupancy) ||
      Now - this->ConnectionsReportedAt < this->Options.ReportRenewalAge ||
      Now - this->LastStatementAt > this->Options.ReportUse)
    return;
  this->queryStatus([](const std::optional<MemberReport> &, TimePoint) {});
}

void MemberLinkPool::onLinkClosed() {
  this->OpenCount -= this->OpenCount > 0 ? 1 : 0;
}

void MemberLinkPool::onRequestSent() {
  if (!this->SilentSince)
    this->SilentSince = this->Clock.now();
}

void MemberLinkPool::onStatementSent() {
  ++this->InFlight;
  this->LastStatementAt = this->Clock.now();
  this->onRequestSent();
}

void MemberLinkPool::queryStatus(ReportHandler OnReport) {
  this->sendQuery(encodeStatusQuery(), std::move(OnReport));
}

void MemberLinkPool::stepDown(const Term &Newest, ReportHandler OnReport) {
  this->sendQuery(encodeStepDown(Newest), std::move(OnReport));
}

void MemberLinkPool::sendQuery(const ProtocolLines &Line,
                               ReportHandler OnReport) {
  if (this->StatusQueryRunning)
    return OnReport(std::nullopt, TimePoint{});
  this->StatusQueryRunning = true;
  auto Send = [Self = this->shared_from_this(), Line,
               OnReport](const std::shared_ptr<MemberLink> &Link) {
    ++Self->QueriesInFlight;
    Self->onRequestSent();
    TimePoint SentAt = Self->Clock.now();
    auto Timer = std::make_shared<boost::asio::steady_timer>(
        Self->Exec, Self->Options.OpenTimeout);
    Timer->async_wait([Link](const boost::system::error_code &Failure) {
      if (!Failure)
        Link->close();
    });
    Link->runOwn(Line, [Self, Link, OnReport, SentAt,
                        Timer](const Outcome<StatementReply> &Reply) {
      --Self->QueriesInFlight;
      Self->StatusQueryRunning = false;
      Timer->cancel();
      Self->release(Link, Self->Clock.now());
      std::optional<MemberReport> Report;
      if (Reply) {
        Self->onAnswered(Self->Clock.now());
        auto Decoded =
            toOutcome([&] { return decodeMemberReport(Reply.value()); });
        if (Decoded) {
          Report = Decoded.value();
          Self->Occupancy.Reported = Report->ConnectionCount;
          Self->ConnectionsReportedAt = SentAt;
        }
      } else {
        Self->onUnanswered(Self->Clock.now());
      }
      OnReport(Report, SentAt);
    });
  };
  this->eraseEndedIdle();
  if (!this->IdleLinks.empty())
    return Send(this->takeIdleAt(this->IdleLinks.size() - 1));
  auto OpeningLink = std::make_shared<std::shared_ptr<MemberLink>>();
  // Named to no account: a member may be told an account only for a caller of
  // that account.
  *OpeningLink = this->openLink(ClientAccountId{},
                                [Self = this->shared_from_this(), Send,
                                 OpeningLink, OnReport](LinkOpening Result) {
                                  auto Link = std::move(*OpeningLink);
                                  if (Result == LinkOpening::Opened)
                                    return Send(Link);
                                  Self->StatusQueryRunning = false;
                                  OnReport(std::nullopt, TimePoint{});
                                });
}

void MemberLinkPool::onStatementEnded(const std::optional<RunTime> &Run) {
  --this->InFlight;
  if (!Run)
    return;
  this->ServiceTime += (Run->Elapsed - this->ServiceTime) / ObservationDivisor;
  this->Concurrency.onCompleted(Run->Elapsed, Run->TargetTime,
                                this->Clock.now());
}

void MemberLinkPool::onRunEnded(bool Failed) {
  this->FailureRate +=
      ((Failed ? 1 : 0) - this->FailureRate) / ObservationDivisor;
}

void MemberLinkPool::onPositionReported(const TermPosition &Position) {
  if (!this->Reached || *this->Reached < Position)
    this->Reached = Position;
}

void MemberLinkPool::onLagging(const TermPosition &RequiredPosition,
                               TimePoint Now) {
  // Refusals of concurrent statements count as one.
  if (Now < this->LaggingUntil) {
    this->MissingPosition = std::min(this->MissingPosition, RequiredPosition);
    return;
  }
  this->MissingPosition = RequiredPosition;
  this->LagBackoff = doubled(this->LagBackoff, this->Options.InitialLagBackoff,
                             this->Options.MaxLagBackoff);
  this->LaggingUntil = Now + this->LagBackoff;
}

bool MemberLinkPool::lagsRepeatedly(TimePoint Now) const {
  return this->LagBackoff >= this->Options.RepeatedLagBackoff &&
         Now - this->LaggingUntil < this->Options.LagMemory;
}

void MemberLinkPool::onAnswered(TimePoint Now) {
  this->LastAnswerAt = Now;
  this->SilentSince.reset();
  if (this->InFlight + this->QueriesInFlight > 0)
    this->SilentSince = Now;
  this->Backoff = Duration{0};
}

void MemberLinkPool::onUnanswered(TimePoint Now) {
  this->Backoff = doubled(this->Backoff, this->Options.InitialBackoff,
                          this->Options.MaxBackoff);
  this->BackoffUntil = Now + this->Backoff;
  this->dropIdle();
}

void MemberLinkPool::dropAll() {
  this->IdleLinks.clear();
  std::vector<std::weak_ptr<MemberLink>> Links = std::move(this->AllLinks);
  this->AllLinks.clear();
  for (const auto &Weak : Links)
    if (auto Link = Weak.lock())
      Link->drop();
}

MemberOccupancy MemberLinkPool::occupancy(TimePoint Now) const {
  MemberOccupancy Seen = this->Occupancy;
  if (Now - this->ConnectionsReportedAt >
      this->Options.ConnectionReportValidity)
    Seen.Reported.reset();
  return Seen;
}

void MemberLinkPool::closeExtraIdle(TimePoint Now) {
  MemberOccupancy Seen = this->occupancy(Now);
  std::size_t MinOpen = this->Retention.minOpen(Seen);
  std::vector<std::size_t> Ranked = this->rankedIdleLinks(Now);
  std::vector<std::size_t> RankOf(Ranked.size());
  for (std::size_t Rank = 0; Rank < Ranked.size(); ++Rank)
    RankOf[Ranked[Rank]] = Rank;
  std::size_t Index = 0;
  std::erase_if(this->IdleLinks, [&](const auto &Link) {
    Duration Timeout = this->Retention.idleTimeout(Seen, RankOf[Index++], Now);
    bool Extra = this->OpenCount > MinOpen && Now - Link->IdleSince > Timeout;
    if (!Extra && Link->idle())
      return false;
    countLink(Extra ? "closed_idle" : "closed_by_member");
    Link->close();
    this->onLinkClosed();
    return true;
  });
  if (this->Retention.hasRoom(Seen) &&
      this->IdleLinks.size() > this->Retention.heldLinks(Seen))
    this->renewReport(Now);
}

} // namespace turmericpitch
