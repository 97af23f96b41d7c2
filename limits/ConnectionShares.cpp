#include "limits/ConnectionShares.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericpitch {

namespace {

/// The owned share divided by this, rounded up, is never lent.
constexpr std::uint32_t ReservedShareDivisor = 4;

std::uint64_t rendezvousWeight(const DatabaseId &Target,
                               const InstanceId &Instance) {
  std::string Text = Target.Value + "/" + Instance.Value;
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

std::uint32_t ownedShare(const ConnectionSharesOptions &Options) {
  const auto &Instances = Options.Instances;
  if (std::find(Instances.begin(), Instances.end(), Options.Self) ==
      Instances.end())
    return 0;
  auto Count = static_cast<std::uint32_t>(Instances.size());
  std::uint64_t Own = rendezvousWeight(Options.Target, Options.Self);
  auto Rank = std::count_if(
      Instances.begin(), Instances.end(), [&](const InstanceId &Other) {
        std::uint64_t Weight = rendezvousWeight(Options.Target, Other);
        return Weight > Own || (Weight == Own && Other < Options.Self);
      });
  return Options.Limit / Count + (Rank < Options.Limit % Count ? 1 : 0);
}

ConnectionShares::ConnectionShares(ConnectionSharesOptions InitialOptions,
                                   TimePoint Now)
    : Options(std::move(InitialOptions)), StartedAt(Now),
      Lender(Options.Lending) {}

bool ConnectionShares::isPeer(const InstanceId &Instance) const {
  const auto &All = this->Options.Instances;
  return Instance != this->Options.Self &&
         std::find(All.begin(), All.end(), Instance) != All.end();
}

bool ConnectionShares::inStartupGrace(TimePoint Now) const {
  // An earlier incarnation of this instance may have lent its share; those
  // loans expire within one lease.
  return Now < this->StartedAt + this->Options.Lending.Lease +
                   this->Options.Lending.Margin;
}

std::uint32_t ConnectionShares::reservedShare() const {
  return (ownedShare(this->Options) + ReservedShareDivisor - 1) /
         ReservedShareDivisor;
}

std::uint32_t ConnectionShares::ownUsable(TimePoint Now) const {
  if (this->inStartupGrace(Now))
    return this->reservedShare();
  std::uint32_t Owned = ownedShare(this->Options);
  std::uint32_t Lent = this->Lender.lent(Now);
  return Owned > Lent ? Owned - Lent : 0;
}

std::uint32_t ConnectionShares::borrowed(TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const auto &[Peer, Loan] : this->Loans)
    if (Now < Loan.ExpiresAt)
      Sum += Loan.Count;
  return Sum;
}

std::uint32_t ConnectionShares::lent(TimePoint Now) const {
  return this->Lender.lent(Now);
}

std::uint32_t ConnectionShares::usable(TimePoint Now) const {
  return this->ownUsable(Now) + this->borrowed(Now);
}

ShareAllowance ConnectionShares::allowance(TimePoint Now) const {
  ShareAllowance Result{.Usable = this->usable(Now),
                        .ValidUntil = TimePoint::max(),
                        .UsableAfterExpiry = this->ownUsable(Now)};
  for (const auto &[Peer, Loan] : this->Loans)
    if (Loan.Count > 0 && Now < Loan.ExpiresAt)
      Result.ValidUntil = std::min(Result.ValidUntil, Loan.ExpiresAt);
  return Result;
}

std::uint32_t ConnectionShares::lendable(TimePoint Now) const {
  if (this->inStartupGrace(Now))
    return 0;
  std::uint32_t Retained = std::max(this->reservedShare(), this->Need);
  std::uint32_t Owned = ownedShare(this->Options);
  return Owned > Retained ? Owned - Retained : 0;
}

std::vector<ShareSend> ConnectionShares::onMessage(const InstanceId &From,
                                                   const ShareMessage &Message,
                                                   TimePoint Now) {
  if (!this->isPeer(From))
    return {};
  if (const auto *Request = std::get_if<ShareRequest>(&Message))
    return this->onRequest(From, *Request, Now);
  this->onGrant(From, std::get<ShareGrant>(Message), Now);
  return {};
}

std::vector<ShareSend> ConnectionShares::onRequest(const InstanceId &From,
                                                   const ShareRequest &Request,
                                                   TimePoint Now) {
  auto Grant = this->Lender.onRequest(From, Request, this->lendable(Now), Now);
  if (!Grant)
    return {};
  return {ShareSend{.To = From, .Message = *Grant}};
}

void ConnectionShares::onGrant(const InstanceId &From, const ShareGrant &Grant,
                               TimePoint Now) {
  if (Grant.Incarnation != this->Options.Incarnation)
    return;
  BorrowedLoan &Loan = this->Loans[From];
  if (Grant.Sequence <= Loan.AcceptedSequence ||
      Grant.Sequence >= this->NextSequence)
    return;
  TimePoint ExpiresAt = TimePoint(Duration(Grant.SentAt)) +
                        Duration(Grant.ValidFor) - this->Options.ExpiryMargin;
  if (ExpiresAt <= Now)
    return;
  if (Loan.Count > 0 || Grant.Count > 0)
    Loan.ReturnReported = false;
  if (Grant.Count < Loan.Count && Now < Loan.ExpiresAt)
    Loan.ReductionEndsAt =
        std::max(Loan.ReductionEndsAt.value_or(Loan.ExpiresAt), Loan.ExpiresAt);
  Loan.AcceptedSequence = Grant.Sequence;
  Loan.Count = Grant.Count;
  Loan.ExpiresAt = ExpiresAt;
  Loan.Spare = Grant.Spare;
}

std::map<InstanceId, std::uint32_t>
ConnectionShares::planLoans(TimePoint Now) const {
  std::uint32_t Own = this->ownUsable(Now);
  std::uint32_t Shortfall = this->Need > Own ? this->Need - Own : 0;
  std::map<InstanceId, std::uint32_t> Wanted;
  for (const InstanceId &Peer : this->Options.Instances) {
    if (Peer == this->Options.Self)
      continue;
    auto Found = this->Loans.find(Peer);
    bool Holds = Found != this->Loans.end() && Now < Found->second.ExpiresAt;
    std::uint32_t Retained =
        Holds ? std::min(Found->second.Count, Shortfall) : 0;
    Wanted[Peer] = Retained;
    Shortfall -= Retained;
  }
  for (auto &[Peer, Count] : Wanted) {
    auto Found = this->Loans.find(Peer);
    if (Found == this->Loans.end())
      continue;
    std::uint32_t Extra = std::min(Found->second.Spare, Shortfall);
    Count += Extra;
    Shortfall -= Extra;
  }
  return Wanted;
}

bool ConnectionShares::hasExpiredExcess(TimePoint Now) const {
  if (this->WithinAllowance)
    return false;
  return std::any_of(
      this->Loans.begin(), this->Loans.end(), [&](const auto &Entry) {
        const BorrowedLoan &Loan = Entry.second;
        bool ReductionExpired =
            Loan.ReductionEndsAt && *Loan.ReductionEndsAt <= Now;
        return ReductionExpired || (Loan.Count > 0 && Loan.ExpiresAt <= Now);
      });
}

bool ConnectionShares::shouldAsk(const BorrowedLoan &Loan, std::uint32_t Wanted,
                                 bool LacksConnections, TimePoint Now) const {
  if (Loan.ReturnReported && !LacksConnections)
    return false;
  bool HadNoneToLend =
      Loan.AcceptedSequence > 0 && Loan.Count == 0 && Loan.Spare == 0;
  Duration Interval =
      HadNoneToLend ? this->Options.RetryInterval : this->Options.RenewInterval;
  bool Due = !Loan.AskedAt || *Loan.AskedAt + Interval <= Now;
  // Lenders wait for the confirmation of a reduction and for a return, so
  // neither is delayed until the next renewal.
  bool ConfirmsReduction =
      this->WithinAllowance && Loan.ReductionEndsAt.has_value();
  bool ReturnUnreported = !Loan.ReturnReported && Loan.Count == 0;
  return Due || ConfirmsReduction || ReturnUnreported || Wanted != Loan.Count;
}

std::vector<ShareSend> ConnectionShares::onTick(TimePoint Now) {
  bool LacksConnections = this->Need > this->ownUsable(Now);
  std::vector<ShareSend> Sends;
  for (const auto &[Peer, Wanted] : this->planLoans(Now)) {
    BorrowedLoan &Loan = this->Loans[Peer];
    if (!this->shouldAsk(Loan, Wanted, LacksConnections, Now))
      continue;
    if (this->WithinAllowance) {
      Loan.ReportedSequence = Loan.AcceptedSequence;
      Loan.ReductionEndsAt.reset();
    }
    // The request sent below reports the return to the lender.
    Loan.ReturnReported =
        this->WithinAllowance && (Loan.Count == 0 || Loan.ExpiresAt <= Now);
    Loan.AskedAt = Now;
    Sends.push_back(
        {.To = Peer, .Message = this->makeRequest(Peer, Wanted, Now)});
  }
  return Sends;
}

ShareRequest ConnectionShares::makeRequest(const InstanceId &To,
                                           std::uint32_t Wanted,
                                           TimePoint Now) {
  return {.Target = this->Options.Target,
          .Incarnation = this->Options.Incarnation,
          .Sequence = this->NextSequence++,
          .Accepted = this->Loans[To].ReportedSequence,
          .Wanted = Wanted,
          .SentAt = Now.time_since_epoch().count()};
}

} // namespace turmericpitch
