#include "limits/LimitBorrower.h"

#include "limits/LimitAge.h"

#include <algorithm>
#include <cmath>

namespace turmericpitch {

namespace {

/// Weight of the newest period in the estimated use.
constexpr double UseWeight = 0.3;

} // namespace

void LimitBorrower::setLimits(
    const std::map<ClientAccountId, OperationLimit> &Limits) {
  for (auto &[Id, Each] : this->Accounts) {
    auto Found = Limits.find(Id);
    bool Removed = Found == Limits.end();
    LimitDecision Decision{.Admitted = Removed,
                           .Grant = {.Account = Id, .ExpiresAt = {}}};
    if (Removed || Found->second.PerSecond <= 0)
      while (!Each.Queue.empty())
        this->decideFirst(Id, Decision);
  }
  std::erase_if(this->Accounts, [&](const auto &Entry) {
    return !Limits.contains(Entry.first);
  });
  for (const auto &[Id, Limit] : Limits) {
    Account &Each = this->Accounts[Id];
    if (Each.Limit == Limit)
      continue;
    // Granted at another rate.
    Each.Stock = {};
    Each.PausedUntil = {};
    Each.Limit = Limit;
  }
}

const OperationLimit *
LimitBorrower::limitOf(const ClientAccountId &Account) const {
  auto Found = this->Accounts.find(Account);
  return Found == this->Accounts.end() ? nullptr : &Found->second.Limit;
}

std::optional<OperationGrant> LimitBorrower::take(const ClientAccountId &Id,
                                                  TimePoint Now) {
  Account &Of = this->Accounts.at(Id);
  if (!Of.Queue.empty())
    return std::nullopt;
  std::optional<TimePoint> ExpiresAt = Of.Stock.take(Now);
  if (!ExpiresAt)
    return std::nullopt;
  Of.Used += 1;
  return OperationGrant{
      .Account = Id, .ExpiresAt = *ExpiresAt, .Limit = Of.Limit};
}

bool LimitBorrower::hasWaiting(const ClientAccountId &Account) const {
  return this->Waiting.contains(Account);
}

Duration LimitBorrower::pauseOf(const ClientAccountId &Account,
                                TimePoint Now) const {
  return std::max(this->Accounts.at(Account).PausedUntil - Now, Duration(0));
}

void LimitBorrower::wait(const ClientAccountId &Account, LimitTicket Ticket,
                         TimePoint Now) {
  this->Accounts.at(Account).Queue.push_back({.Ticket = Ticket, .Since = Now});
  this->Waiting.insert(Account);
}

void LimitBorrower::noteUse(const ClientAccountId &Account) {
  this->Accounts.at(Account).Used += 1;
}

void LimitBorrower::putBack(const OperationGrant &Grant, TimePoint Now) {
  auto Found = this->Accounts.find(Grant.Account);
  if (Found == this->Accounts.end() || Grant.ExpiresAt <= Now ||
      Grant.Limit != Found->second.Limit)
    return;
  this->addToStock(Found->second, 1, Grant.ExpiresAt, Now);
  this->serveWaiting(Grant.Account, Now);
}

void LimitBorrower::addToStock(Account &Of, double Operations,
                               TimePoint ExpiresAt, TimePoint Now) {
  if (Of.Limit.PerSecond <= 0)
    return;
  TimePoint Latest = Now + creditAge(Of.Limit, this->MinBurst);
  Of.Stock.add(Operations, std::min(ExpiresAt, Latest), Now);
}

void LimitBorrower::updateUse(Duration Period) {
  double Seconds = std::chrono::duration<double>(Period).count();
  if (Seconds <= 0)
    return;
  for (auto &[Id, Each] : this->Accounts) {
    Each.UsePerSecond += UseWeight * (Each.Used / Seconds - Each.UsePerSecond);
    Each.Used = 0;
  }
}

double LimitBorrower::needOf(const Account &Of, TimePoint Now) const {
  double Ahead = Of.UsePerSecond *
                 std::chrono::duration<double>(this->Options.UsePeriod).count();
  // An operation that is seldom used would lie here while others need it.
  if (Ahead < 1)
    Ahead = 0;
  double Stock = Of.Stock.available(Now);
  return static_cast<double>(Of.Queue.size()) +
         std::max(0.0, std::floor(Ahead - Stock));
}

std::vector<AccountNeed> LimitBorrower::needs(bool Ahead, TimePoint Now) const {
  std::vector<AccountNeed> All;
  auto Consider = [&](const ClientAccountId &Id, const Account &Of) {
    if (Of.Limit.PerSecond <= 0 || Of.PausedUntil > Now ||
        (Of.UnderWay && Now - Of.UnderWay->SentAt < this->Options.AskTimeout))
      return;
    double Operations = this->needOf(Of, Now);
    if (Operations >= 1)
      All.push_back({.Account = Id, .Operations = Operations});
  };
  if (Ahead) {
    for (const auto &[Id, Of] : this->Accounts)
      Consider(Id, Of);
    return All;
  }
  for (const ClientAccountId &Id : this->Waiting)
    Consider(Id, this->Accounts.at(Id));
  return All;
}

void LimitBorrower::onAsked(const ClientAccountId &Account,
                            const InstanceId &Keeper, std::uint64_t Sequence,
                            TimePoint Now) {
  this->Accounts.at(Account).UnderWay = {
      .Keeper = Keeper, .Sequence = Sequence, .SentAt = Now};
}

void LimitBorrower::onGrant(const InstanceId &Keeper, std::uint64_t Sequence,
                            const AccountGrant &Grant, TimePoint SentAt,
                            TimePoint Now) {
  auto Found = this->Accounts.find(Grant.Account);
  if (Found == this->Accounts.end())
    return;
  Account &Of = Found->second;
  bool IsNewest = Of.UnderWay && Of.UnderWay->Keeper == Keeper &&
                  Of.UnderWay->Sequence == Sequence;
  if (IsNewest)
    Of.UnderWay.reset();
  if (SentAt + Grant.Validity > Now)
    this->addToStock(Of, Grant.Operations, SentAt + Grant.Validity, Now);
  this->serveWaiting(Grant.Account, Now);
  if (!IsNewest || Grant.RetryAfter <= Duration(0))
    return;
  Of.PausedUntil = Now + std::min(Grant.RetryAfter, this->Options.MaxPause);
  this->refuseAll(Grant.Account, Grant.RetryAfter);
}

void LimitBorrower::serveWaiting(const ClientAccountId &Id, TimePoint Now) {
  Account &Of = this->Accounts.at(Id);
  while (!Of.Queue.empty()) {
    std::optional<TimePoint> ExpiresAt = Of.Stock.take(Now);
    if (!ExpiresAt)
      return;
    Of.Used += 1;
    this->decideFirst(
        Id,
        {.Admitted = true,
         .Grant = {.Account = Id, .ExpiresAt = *ExpiresAt, .Limit = Of.Limit}});
  }
}

void LimitBorrower::refuseAll(const ClientAccountId &Id, Duration RetryAfter) {
  Account &Of = this->Accounts.at(Id);
  while (!Of.Queue.empty())
    this->decideFirst(Id, {.RetryAfter = RetryAfter});
}

void LimitBorrower::refuseOverdue(TimePoint Now) {
  std::set<ClientAccountId> Overdue = this->Waiting;
  for (const ClientAccountId &Id : Overdue) {
    Account &Of = this->Accounts.at(Id);
    while (!Of.Queue.empty() &&
           Now - Of.Queue.front().Since >= this->Options.MaxWait)
      this->decideFirst(Id, {.RetryAfter = this->Options.MaxPause});
  }
}

void LimitBorrower::decideFirst(const ClientAccountId &Account,
                                LimitDecision Decision) {
  auto &Queue = this->Accounts.at(Account).Queue;
  this->Outcomes.push_back(
      {.Ticket = Queue.front().Ticket, .Decision = std::move(Decision)});
  Queue.pop_front();
  if (Queue.empty())
    this->Waiting.erase(Account);
}

std::optional<TimePoint> LimitBorrower::nextDeadline() const {
  std::optional<TimePoint> Next;
  auto Consider = [&](TimePoint Time) {
    Next = Next ? std::min(*Next, Time) : Time;
  };
  for (const ClientAccountId &Id : this->Waiting) {
    const Account &Of = this->Accounts.at(Id);
    Consider(Of.Queue.front().Since + this->Options.MaxWait);
    if (Of.UnderWay)
      Consider(Of.UnderWay->SentAt + this->Options.AskTimeout);
  }
  return Next;
}

std::vector<LimitOutcome> LimitBorrower::takeOutcomes() {
  return std::exchange(this->Outcomes, {});
}

} // namespace turmericpitch
