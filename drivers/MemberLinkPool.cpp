#include "drivers/MemberLinkPool.h"

#include "core/DecisionLog.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Weight of the newest observation in a member's typical time.
constexpr int ObservationShare = 8;

Duration doubled(Duration Pause, Duration First, Duration Most) {
  return Pause == Duration{0} ? First : std::min(Most, 2 * Pause);
}

} // namespace

MemberLinkPool::MemberLinkPool(boost::asio::any_io_executor On,
                               RegisteredMember Member,
                               ConnectionAllowanceOptions Allowance,
                               MemberLinkPoolOptions Options)
    : On(std::move(On)), Member(std::move(Member)), Options(Options),
      Allowance(Allowance), Concurrency({.Max = this->Member.Slots,
                                         .Instances = Allowance.Instances}),
      CreatedAt(BootClock().now()), Typical(Options.FirstTypical) {}

MemberLinkPool::~MemberLinkPool() { this->dropIdle(); }

void MemberLinkPool::dropIdle() {
  for (const auto &Link : this->Idle)
    Link->close();
  this->Open -= this->Idle.size();
  this->Idle.clear();
}

void MemberLinkPool::onEntryChanged(const RegisteredMember &Now) {
  bool Another = Now.Where != this->Member.Where ||
                 Now.StartedAt != this->Member.StartedAt;
  this->Member = Now;
  if (Another) {
    this->Reached.reset();
    this->PausedUntil = {};
  }
  if (Another || Now.Draining)
    this->dropIdle();
}

void MemberLinkPool::setAllowance(ConnectionAllowanceOptions Allowance) {
  this->Allowance.configure(Allowance);
  this->Concurrency.setInstances(Allowance.Instances);
}

MemberCandidate MemberLinkPool::candidate(const ZoneId &OwnZone,
                                          TimePoint Now) const {
  std::size_t Allowed = this->Allowance.allowed(Now);
  std::size_t Room =
      this->Idle.size() + (Allowed > this->Open ? Allowed - this->Open : 0);
  return {.Id = this->Member.Id,
          .SameZone = this->Member.Zone == OwnZone,
          .Excluded = this->Member.Draining || Now < this->PausedUntil,
          .InFlight = this->InFlight,
          .MaxInFlight =
              std::min(this->Concurrency.allowed(Now), this->InFlight + Room),
          .MaxInFlightUrgent = std::min(this->Concurrency.allowedUrgent(Now),
                                        this->InFlight + Room),
          .Share = this->Concurrency.limit(),
          .TypicalServiceTime = this->Typical,
          .Reached = this->Reached,
          .LaggingUntil = this->ShortUntil,
          .MissingPosition = this->ShortOf};
}

std::shared_ptr<MemberLink>
MemberLinkPool::takeIdle(const std::map<std::string, std::string> &Values) {
  std::erase_if(this->Idle, [this](const auto &Link) {
    if (Link->idle())
      return false;
    this->onLinkClosed();
    return true;
  });
  PreparedStatementNames Unused;
  std::size_t Best = this->Idle.size();
  std::size_t Fewest = SIZE_MAX;
  // The link used last is looked at first, so that the others age out.
  for (std::size_t Back = this->Idle.size(); Back > 0; --Back) {
    std::size_t Steps =
        this->Idle[Back - 1]->Fitted.setupSteps(Values, nullptr, Unused).size();
    if (Steps < Fewest) {
      Fewest = Steps;
      Best = Back - 1;
    }
  }
  if (Best == this->Idle.size())
    return nullptr;
  auto Link = this->Idle[Best];
  this->Idle.erase(this->Idle.begin() + static_cast<std::ptrdiff_t>(Best));
  Link->Pooled = false;
  return Link;
}

std::shared_ptr<MemberLink>
MemberLinkPool::openLink(MemberLink::OpenHandler OnOpened) {
  auto Link = std::make_shared<MemberLink>(this->On, this->Member);
  std::erase_if(this->All, [](const auto &Each) { return Each.expired(); });
  this->All.push_back(Link);
  ++this->Open;
  ++this->Opening;
  ++this->Opened;
  this->noteAsked();
  Link->open(this->Options.OpenLimit,
             [Self = this->shared_from_this(),
              Handle = std::move(OnOpened)](LinkOpening How) {
               Self->noteOpening(How);
               Handle(How);
             });
  return Link;
}

void MemberLinkPool::noteOpening(LinkOpening How) {
  TimePoint Now = this->Clock.now();
  --this->Opening;
  this->Refusing = How == LinkOpening::ConnectionRefused;
  if (How == LinkOpening::Opened)
    return this->onAnswered(Now);
  this->onLinkClosed();
  std::size_t Established = this->Open - this->Opening;
  writeDecision(DecisionLine("link_not_opened")
                    .field("member", this->Member.Id.Value)
                    .field("cause", toString(How))
                    .field("links", Established));
  bool AtLimit = How == LinkOpening::RefusedAtLimit ||
                 (How == LinkOpening::EndedEarly && Established > 0);
  if (!AtLimit)
    return this->onUnanswered(Now);
  // Who ends connections beyond its limit is alive.
  this->onAnswered(Now);
  this->Allowance.onRefused(Established, Now);
}

void MemberLinkPool::giveBack(const std::shared_ptr<MemberLink> &Link,
                              TimePoint Now) {
  if (Link->Pooled)
    return;
  Link->Pooled = true;
  bool Same = Link->member().Where == this->Member.Where &&
              Link->member().StartedAt == this->Member.StartedAt;
  bool Keep = Link->idle() &&
              Link->transactionStatus() == TransactionStatus::None && Same &&
              !this->Member.Draining;
  if (!Keep) {
    Link->close();
    return this->onLinkClosed();
  }
  Link->IdleSince = Now;
  this->Idle.push_back(Link);
}

void MemberLinkPool::onLinkClosed() { this->Open -= this->Open > 0 ? 1 : 0; }

void MemberLinkPool::noteAsked() {
  if (!this->SilentSince)
    this->SilentSince = this->Clock.now();
}

void MemberLinkPool::onStatementSent() {
  ++this->InFlight;
  this->noteAsked();
}

void MemberLinkPool::queryStatus(ReportHandler OnReport) {
  this->question(encodeStatusQuery(), std::move(OnReport));
}

void MemberLinkPool::stepDown(const Term &Newest, ReportHandler OnReport) {
  this->question(encodeStepDown(Newest), std::move(OnReport));
}

void MemberLinkPool::question(const std::string &Bytes,
                              ReportHandler OnReport) {
  if (this->AskingStatus)
    return OnReport(std::nullopt, TimePoint{});
  this->AskingStatus = true;
  auto Ask = [Self = this->shared_from_this(), Bytes,
              OnReport](const std::shared_ptr<MemberLink> &Link) {
    ++Self->Questions;
    Self->noteAsked();
    TimePoint AskedAt = Self->Clock.now();
    auto GiveUp = std::make_shared<boost::asio::steady_timer>(
        Self->On, Self->Options.OpenLimit);
    GiveUp->async_wait([Link](const boost::system::error_code &Failure) {
      if (!Failure)
        Link->close();
    });
    Link->run(Bytes, [Self, Link, OnReport, AskedAt,
                      GiveUp](const Outcome<StatementReply> &Reply) {
      --Self->Questions;
      Self->AskingStatus = false;
      GiveUp->cancel();
      Self->giveBack(Link, Self->Clock.now());
      std::optional<MemberReport> Report;
      if (Reply) {
        Self->onAnswered(Self->Clock.now());
        auto Decoded =
            toOutcome([&] { return decodeMemberReport(Reply.value()); });
        if (Decoded)
          Report = Decoded.value();
      } else {
        Self->onUnanswered(Self->Clock.now());
      }
      OnReport(Report, AskedAt);
    });
  };
  if (auto Link = this->takeIdle({}))
    return Ask(Link);
  auto Opening = std::make_shared<std::shared_ptr<MemberLink>>();
  *Opening = this->openLink([Self = this->shared_from_this(), Ask, Opening,
                             OnReport](LinkOpening How) {
    auto Link = std::move(*Opening);
    if (How == LinkOpening::Opened)
      return Ask(Link);
    Self->AskingStatus = false;
    OnReport(std::nullopt, TimePoint{});
  });
}

void MemberLinkPool::onStatementOver(const std::optional<RunTime> &Ran) {
  --this->InFlight;
  if (!Ran)
    return;
  this->Typical += (Ran->Took - this->Typical) / ObservationShare;
  this->Concurrency.onCompleted(Ran->Took, Ran->Allotted, this->Clock.now());
}

void MemberLinkPool::onReached(const TermPosition &Position) {
  if (!this->Reached || *this->Reached < Position)
    this->Reached = Position;
}

void MemberLinkPool::onShort(const TermPosition &Asked, TimePoint Now) {
  // Several statements may find out at once; it counts as one time.
  if (Now < this->ShortUntil) {
    this->ShortOf = std::min(this->ShortOf, Asked);
    return;
  }
  this->ShortOf = Asked;
  this->ShortPause = doubled(this->ShortPause, this->Options.FirstShortPause,
                             this->Options.MostShortPause);
  this->ShortUntil = Now + this->ShortPause;
}

bool MemberLinkPool::fallsShort(TimePoint Now) const {
  return this->ShortPause >= this->Options.RepeatedShortPause &&
         Now - this->ShortUntil < this->Options.ShortMemory;
}

void MemberLinkPool::onAnswered(TimePoint Now) {
  this->AnsweredAt = Now;
  this->SilentSince.reset();
  if (this->InFlight + this->Questions > 0)
    this->SilentSince = Now;
  this->Pause = Duration{0};
}

void MemberLinkPool::onUnanswered(TimePoint Now) {
  this->Pause =
      doubled(this->Pause, this->Options.FirstPause, this->Options.MostPause);
  this->PausedUntil = Now + this->Pause;
  this->dropIdle();
}

void MemberLinkPool::dropAll() {
  this->Idle.clear();
  std::vector<std::weak_ptr<MemberLink>> Links = std::move(this->All);
  this->All.clear();
  for (const auto &Weak : Links)
    if (auto Link = Weak.lock())
      Link->drop();
}

void MemberLinkPool::closeExtraIdle(TimePoint Now) {
  bool Small = this->Allowance.evenShare() < this->Options.LeastShareToKeep;
  bool Starting = Now - this->CreatedAt < this->Options.SharedAtStart;
  std::size_t Kept = Small ? 0 : this->Options.KeptIdle;
  std::shared_ptr<MemberLink> Last;
  if (!this->Idle.empty())
    Last = this->Idle.back();
  std::erase_if(this->Idle, [&](const auto &Link) {
    Duration Limit = Small && Link != Last ? this->Options.SpareIdleLimit
                                           : this->Options.ExtraIdleLimit;
    if (Small && Starting)
      Limit = Duration{0};
    bool Extra = this->Open > Kept && Now - Link->IdleSince > Limit;
    if (!Extra && Link->idle())
      return false;
    Link->close();
    this->onLinkClosed();
    return true;
  });
}

} // namespace turmericpitch
