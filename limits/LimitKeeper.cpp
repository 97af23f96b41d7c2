#include "limits/LimitKeeper.h"

#include "limits/KeeperRanking.h"
#include "limits/LimitAge.h"

#include <algorithm>
#include <cmath>

namespace turmericpitch {

namespace {

/// More lists than a fleet has at a time; recomputing one is cheap.
constexpr std::size_t MaxKeeperLists = 64;
/// A sender's sequence is kept this many times as long as an echo is accepted.
constexpr int SequenceRetention = 3;
/// Senders whose sequences are kept. A further one is answered once others have
/// been silent for long enough.
constexpr std::size_t MaxSenders = 4096;
constexpr Duration InflowPeriod = std::chrono::seconds(1);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(1);
/// Absorbs the rounding of sums of deposits, in operations.
constexpr double Rounding = 1e-9;

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Time) * Factor);
}

} // namespace

void LimitKeeper::setLimits(
    const std::map<ClientAccountId, OperationLimit> &Limits) {
  this->FirstRanked.clear();
  std::erase_if(this->Accounts, [&](const auto &Entry) {
    auto Found = Limits.find(Entry.first);
    return Found == Limits.end() || Found->second.PerSecond <= 0;
  });
  for (const auto &[Id, Limit] : Limits) {
    if (Limit.PerSecond <= 0)
      continue;
    Account &Each = this->Accounts[Id];
    Each.Limit = Limit;
    Each.Age = creditAge(Limit, this->Options.MinBurst);
  }
}

const std::vector<LimitKeeper::Account *> &
LimitKeeper::firstRanked(const std::vector<InstanceId> &Keepers) {
  auto Known = this->FirstRanked.find(Keepers);
  if (Known != this->FirstRanked.end())
    return Known->second;
  if (this->FirstRanked.size() >= MaxKeeperLists)
    this->FirstRanked.clear();
  std::vector<Account *> &Ranked = this->FirstRanked[Keepers];
  if (Keepers.empty())
    return Ranked;
  for (auto &[Id, Each] : this->Accounts)
    if (firstKeeper(Keepers, Id) == this->Options.Self)
      Ranked.push_back(&Each);
  return Ranked;
}

void LimitKeeper::deposit(const std::vector<InstanceId> &Keepers,
                          double ShareSeconds, TimePoint CreatedAt,
                          TimePoint Now) {
  CreatedAt = std::min(CreatedAt, Now);
  for (Account *Each : this->firstRanked(Keepers)) {
    Duration Period = Now - Each->InflowSince;
    if (Period >= InflowPeriod) {
      Each->InflowRate =
          Each->Inflow / std::chrono::duration<double>(Period).count();
      Each->Inflow = 0;
      Each->InflowSince = Now;
    }
    Each->Inflow += ShareSeconds;
    Each->Pool.removeBefore(Now - Each->Age);
    if (CreatedAt > Now - Each->Age)
      Each->Pool.add(ShareSeconds, CreatedAt, Each->Age);
  }
}

Duration LimitKeeper::retryAfter(const Account &Of, double Missing) const {
  double Share = Of.InflowRate > 0 ? Of.InflowRate : 1;
  std::chrono::duration<double> Wait(Missing / (Share * Of.Limit.PerSecond));
  if (Wait >= MaxLimitRetryAfter)
    return MaxLimitRetryAfter;
  return std::max(MinRetryAfter, std::chrono::duration_cast<Duration>(Wait));
}

AccountGrant LimitKeeper::grant(const ClientAccountId &Account,
                                double Operations, TimePoint Now) {
  AccountGrant Grant{.Account = Account};
  auto Found = this->Accounts.find(Account);
  if (Found == this->Accounts.end()) {
    Grant.RetryAfter = this->Options.UsePeriod;
    return Grant;
  }
  auto &Of = Found->second;
  TimePoint Oldest = Now - Of.Age;
  Of.Pool.removeBefore(Oldest + Duration(1));
  double Available = Of.Pool.available() * Of.Limit.PerSecond;
  Grant.Operations =
      std::floor(std::min(std::ceil(Operations), Available + Rounding));
  if (Grant.Operations < std::ceil(Operations))
    Grant.RetryAfter = this->retryAfter(Of, Grant.Operations + 1 - Available);
  if (Grant.Operations < 1)
    return Grant;
  TimePoint CreatedAt = Of.Pool.take(Grant.Operations / Of.Limit.PerSecond,
                                     Oldest + this->Options.UsePeriod);
  Grant.Validity = CreatedAt - Oldest;
  return Grant;
}

bool LimitKeeper::acceptSequence(const InstanceId &From,
                                 const LimitRequest &Request, TimePoint Now) {
  Duration Retention = this->Options.MaxEchoAge * SequenceRetention;
  if (Now - this->SendersCheckedAt >= Retention) {
    this->SendersCheckedAt = Now;
    std::erase_if(this->Senders, [&](const auto &Entry) {
      return Now - Entry.second.LastRequestAt >= Retention;
    });
  }
  SenderKey Key{.Instance = From, .Incarnation = Request.Incarnation};
  if (this->Senders.size() >= MaxSenders && !this->Senders.contains(Key))
    return false;
  Sender &Known = this->Senders[Key];
  if (Request.Sequence <= Known.LastSequence)
    return false;
  Known.LastSequence = Request.Sequence;
  Known.LastRequestAt = Now;
  return true;
}

void LimitKeeper::countDeposit(const LimitRequest &Request, TimePoint Now) {
  if (!Request.Echo || Request.ShareSeconds <= 0 ||
      Request.Echo->Incarnation != this->Options.Incarnation ||
      Now - Request.Echo->Time > this->Options.MaxEchoAge)
    return;
  // Covers the creation by a clock of another rate.
  double Drift = this->Options.ClockDrift;
  Duration Span =
      scaled(Request.Span, Request.Span > Duration(0) ? 1 + Drift : 1 - Drift);
  this->deposit(Request.Keepers, Request.ShareSeconds,
                Request.Echo->Time - Span, Now);
}

std::optional<LimitReply> LimitKeeper::onRequest(const InstanceId &From,
                                                 const LimitRequest &Request,
                                                 TimePoint Now) {
  if (!this->acceptSequence(From, Request, Now))
    return std::nullopt;
  this->countDeposit(Request, Now);
  LimitReply Reply{
      .RequestIncarnation = Request.Incarnation,
      .RequestSequence = Request.Sequence,
      .Stamp = {.Incarnation = this->Options.Incarnation, .Time = Now}};
  // An account unknown here has not reached its limit: this instance may be
  // behind in versions. The sender asks again and gives up by itself.
  for (const AccountNeed &Need : Request.Needs)
    if (this->Accounts.contains(Need.Account))
      Reply.Grants.push_back(this->grant(Need.Account, Need.Operations, Now));
  return Reply;
}

} // namespace turmericpitch
