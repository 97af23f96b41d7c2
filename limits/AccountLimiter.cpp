#include "limits/AccountLimiter.h"

#include "limits/KeeperRanking.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// A deposit may be due a little early, as timers are late by varying times.
constexpr double EarlyDeposit = 0.75;
/// An instance that was paused for more intervals than this creates nothing for
/// the time before, which would make the rest look as old.
constexpr int MaxSliceIntervals = 2;

} // namespace

AccountLimiter::AccountLimiter(AccountLimiterOptions Options, TimePoint Now)
    : Options(std::move(Options)),
      Pool({.Self = this->Options.Self,
            .Incarnation = this->Options.Incarnation,
            .MinBurst = this->Options.MinBurst,
            .UsePeriod = this->Options.Borrowing.UsePeriod}),
      Borrower(this->Options.Borrowing, this->Options.MinBurst),
      SliceStart(Now), CreatedUntil(Now), DepositedAt(Now) {}

void AccountLimiter::setLimits(
    std::map<ClientAccountId, OperationLimit> Limits) {
  this->Pool.setLimits(Limits);
  this->Borrower.setLimits(Limits);
}

void AccountLimiter::setKeepers(std::vector<InstanceId> Keepers) {
  std::sort(Keepers.begin(), Keepers.end());
  Keepers.erase(std::unique(Keepers.begin(), Keepers.end()), Keepers.end());
  // A name that can't be sent would be missing in the messages alone.
  std::erase_if(Keepers, [](const InstanceId &Each) {
    return Each.Value.size() > MaxLimitNameBytes;
  });
  // The list of the fleet is no longer than this; see MaxLimitKeepers.
  if (Keepers.size() > MaxKeepersPerMessage)
    Keepers.resize(MaxKeepersPerMessage);
  this->Keepers = std::move(Keepers);
  for (const InstanceId &Each : this->Keepers)
    if (Each != this->Options.Self)
      this->Contacts.try_emplace(Each, this->Options.Contact,
                                 this->ForgottenSequence);
}

void AccountLimiter::forgetFormerKeepers(TimePoint Now) {
  for (auto Each = this->Contacts.begin(); Each != this->Contacts.end();) {
    const InstanceId &Id = Each->first;
    if (std::binary_search(this->Keepers.begin(), this->Keepers.end(), Id)) {
      this->FormerSince.erase(Id);
      ++Each;
      continue;
    }
    TimePoint Since = this->FormerSince.try_emplace(Id, Now).first->second;
    if (Now - Since < this->Options.ContactRetention) {
      ++Each;
      continue;
    }
    this->ForgottenSequence =
        std::max(this->ForgottenSequence, Each->second.lastSequence());
    this->FormerSince.erase(Id);
    Each = this->Contacts.erase(Each);
  }
}

void AccountLimiter::create(TimePoint Now) {
  TimePoint From =
      std::max(this->CreatedUntil,
               Now - MaxSliceIntervals * this->Options.DepositInterval);
  if (From > this->CreatedUntil) {
    this->ShareSeconds = 0;
    this->SliceStart = From;
  }
  this->ShareSeconds +=
      this->Share * std::chrono::duration<double>(Now - From).count();
  this->CreatedUntil = Now;
}

void AccountLimiter::setShare(double Share, TimePoint Now) {
  // Which of both held in between isn't known.
  double Next = Share;
  this->Share = std::min(this->Share, Share);
  this->create(Now);
  this->Share = Next;
}

std::vector<InstanceId> AccountLimiter::reachableKeepers(TimePoint Now) const {
  std::vector<InstanceId> Reachable;
  for (const InstanceId &Each : this->Keepers)
    if (Each == this->Options.Self || this->Contacts.at(Each).reachable(Now))
      Reachable.push_back(Each);
  if (Reachable.empty())
    Reachable.push_back(this->Options.Self);
  return Reachable;
}

bool AccountLimiter::isAlone(const std::vector<InstanceId> &Keepers) const {
  return Keepers.size() == 1 && Keepers.front() == this->Options.Self;
}

std::optional<OperationGrant>
AccountLimiter::takePooled(const ClientAccountId &Account, Duration &RetryAfter,
                           TimePoint Now) {
  AccountGrant Grant = this->Pool.grant(Account, 1, Now);
  RetryAfter = Grant.RetryAfter;
  if (Grant.Operations < 1)
    return std::nullopt;
  this->Borrower.noteUse(Account);
  return OperationGrant{.Account = Account,
                        .ExpiresAt = Now + Grant.Validity,
                        .Limit = *this->Borrower.limitOf(Account)};
}

LimitDecision AccountLimiter::refusal(const std::vector<InstanceId> &Keepers,
                                      Duration RetryAfter) const {
  bool NoShare = this->Share <= 0 && this->isAlone(Keepers);
  return {.Refusal =
              NoShare ? LimitRefusal::NoShare : LimitRefusal::LimitReached,
          .RetryAfter = RetryAfter};
}

std::optional<LimitDecision>
AccountLimiter::admit(const ClientAccountId &Account, LimitTicket Ticket,
                      TimePoint Now) {
  const OperationLimit *Limit = this->Borrower.limitOf(Account);
  if (!Limit)
    return LimitDecision{.Admitted = true,
                         .Grant = {.Account = Account, .ExpiresAt = Now}};
  if (Limit->PerSecond <= 0)
    return LimitDecision{.RetryAfter = MaxLimitRetryAfter};
  if (auto Grant = this->Borrower.take(Account, Now))
    return LimitDecision{.Admitted = true, .Grant = std::move(*Grant)};
  std::vector<InstanceId> Reachable = this->reachableKeepers(Now);
  if (!this->Borrower.hasWaiting(Account)) {
    Duration RetryAfter{0};
    if (auto Grant = this->takePooled(Account, RetryAfter, Now))
      return LimitDecision{.Admitted = true, .Grant = std::move(*Grant)};
    if (firstKeeper(Reachable, Account) == this->Options.Self)
      return this->refusal(Reachable, RetryAfter);
    Duration Pause = this->Borrower.pauseOf(Account, Now);
    if (Pause > Duration(0))
      return this->refusal(Reachable, Pause);
  }
  this->Borrower.wait(Account, Ticket, Now);
  return std::nullopt;
}

void AccountLimiter::refund(const OperationGrant &Grant, TimePoint Now) {
  this->Borrower.putBack(Grant, Now);
}

LimitRequest AccountLimiter::newRequest(const InstanceId &To, TimePoint Now) {
  KeeperContact &Contact = this->Contacts.at(To);
  return {.Incarnation = this->Options.Incarnation,
          .Sequence = Contact.onSend(Now),
          .Echo = Contact.stamp()};
}

void AccountLimiter::deposit(const std::vector<InstanceId> &Reachable,
                             std::map<InstanceId, LimitRequest> &Requests,
                             TimePoint Now) {
  // The credit leaves the count here before any message is sent.
  double Deposited = std::exchange(this->ShareSeconds, 0);
  TimePoint CreatedAt = std::exchange(this->SliceStart, Now);
  this->DepositedAt = Now;
  for (const InstanceId &Each : Reachable) {
    if (Each == this->Options.Self) {
      this->Pool.deposit(Reachable, Deposited, CreatedAt, Now);
      continue;
    }
    LimitRequest Request = this->newRequest(Each, Now);
    Request.ShareSeconds = Deposited;
    Request.Span = this->Contacts.at(Each).stampReceivedAt() - CreatedAt;
    Request.Keepers = Reachable;
    Requests.emplace(Each, std::move(Request));
  }
}

void AccountLimiter::ask(const std::vector<InstanceId> &Reachable, bool Ahead,
                         std::map<InstanceId, LimitRequest> &Requests,
                         std::vector<LimitSend> &Full, TimePoint Now) {
  for (AccountNeed &Need : this->Borrower.needs(Ahead, Now)) {
    const InstanceId &To = firstKeeper(Reachable, Need.Account);
    if (To == this->Options.Self)
      continue;
    auto Known = Requests.find(To);
    if (Known != Requests.end() &&
        Known->second.Needs.size() >= MaxAccountsPerMessage) {
      Full.push_back({.To = To, .Message = std::move(Known->second)});
      Requests.erase(Known);
      Known = Requests.end();
    }
    if (Known == Requests.end())
      Known = Requests.emplace(To, this->newRequest(To, Now)).first;
    this->Borrower.onAsked(Need.Account, To, Known->second.Sequence, Now);
    Known->second.Needs.push_back(std::move(Need));
  }
}

void AccountLimiter::probe(const std::vector<InstanceId> &Reachable,
                           std::map<InstanceId, LimitRequest> &Requests,
                           TimePoint Now) {
  for (const InstanceId &Each : this->Keepers) {
    bool Skip = Each == this->Options.Self ||
                std::binary_search(Reachable.begin(), Reachable.end(), Each);
    if (!Skip && this->Contacts.at(Each).probeDue(Now))
      Requests.emplace(Each, this->newRequest(Each, Now));
  }
}

void AccountLimiter::serveWaiting(const std::vector<InstanceId> &Reachable,
                                  TimePoint Now) {
  std::set<ClientAccountId> Waiting = this->Borrower.waiting();
  for (const ClientAccountId &Account : Waiting) {
    bool OwnPool = firstKeeper(Reachable, Account) == this->Options.Self;
    while (OwnPool && this->Borrower.hasWaiting(Account)) {
      Duration RetryAfter{0};
      auto Grant = this->takePooled(Account, RetryAfter, Now);
      this->Borrower.decideFirst(
          Account,
          Grant ? LimitDecision{.Admitted = true, .Grant = std::move(*Grant)}
                : this->refusal(Reachable, RetryAfter));
    }
  }
}

std::vector<LimitSend> AccountLimiter::onTick(TimePoint Now) {
  this->create(Now);
  std::vector<InstanceId> Reachable = this->reachableKeepers(Now);
  std::map<InstanceId, LimitRequest> Requests;
  std::vector<LimitSend> Sends;
  Duration SinceDeposit = Now - this->DepositedAt;
  bool DepositDue =
      SinceDeposit >= std::chrono::duration_cast<Duration>(
                          EarlyDeposit * this->Options.DepositInterval);
  if (DepositDue) {
    this->forgetFormerKeepers(Now);
    this->Borrower.updateUse(SinceDeposit);
    this->deposit(Reachable, Requests, Now);
  }
  this->serveWaiting(Reachable, Now);
  this->Borrower.refuseOverdue(Now);
  this->ask(Reachable, DepositDue, Requests, Sends, Now);
  this->probe(Reachable, Requests, Now);
  for (auto &[To, Request] : Requests)
    Sends.push_back({.To = To, .Message = std::move(Request)});
  return Sends;
}

TimePoint AccountLimiter::nextTickAt() const {
  TimePoint Next = this->DepositedAt + this->Options.DepositInterval;
  Next = std::min(Next, this->Borrower.nextDeadline().value_or(Next));
  for (const InstanceId &Each : this->Keepers) {
    auto Contact = this->Contacts.find(Each);
    if (Contact != this->Contacts.end() && !Contact->second.hasAnswered())
      Next = std::min(Next, Contact->second.nextProbeAt());
  }
  return Next;
}

std::vector<LimitSend> AccountLimiter::onMessage(const InstanceId &From,
                                                 const LimitMessage &Message,
                                                 TimePoint Now) {
  if (const auto *Request = std::get_if<LimitRequest>(&Message)) {
    auto Reply = this->Pool.onRequest(From, *Request, Now);
    if (!Reply)
      return {};
    return {{.To = From, .Message = std::move(*Reply)}};
  }
  const auto &Reply = std::get<LimitReply>(Message);
  if (!this->requestSentAt(From, Reply))
    return {};
  TimePoint SentAt = *this->Contacts.at(From).onReply(Reply, Now);
  for (const AccountGrant &Each : Reply.Grants)
    this->Borrower.onGrant(From, Reply.RequestSequence, Each, SentAt, Now);
  // Operations may have come after the request.
  if (this->Borrower.waiting().empty())
    return {};
  return this->onTick(Now);
}

std::optional<TimePoint>
AccountLimiter::requestSentAt(const InstanceId &From,
                              const LimitReply &Reply) const {
  auto Contact = this->Contacts.find(From);
  if (Contact == this->Contacts.end() ||
      Reply.RequestIncarnation != this->Options.Incarnation)
    return std::nullopt;
  return Contact->second.sentAt(Reply.RequestSequence);
}

bool AccountLimiter::hasContact() const {
  auto Answered = [](const auto &Entry) {
    return Entry.second.stamp().has_value();
  };
  return this->Contacts.empty() ||
         std::any_of(this->Contacts.begin(), this->Contacts.end(), Answered);
}

std::vector<LimitOutcome> AccountLimiter::takeOutcomes() {
  return this->Borrower.takeOutcomes();
}

} // namespace turmericpitch
