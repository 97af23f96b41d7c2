#include "limits/ShareLender.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr std::size_t MaxBorrowers = 64;
/// A borrower's last sequence is kept longer than any datagram can be delayed.
constexpr Duration SequenceRetention = std::chrono::minutes(2);

} // namespace

std::uint32_t ShareLender::lentTo(const Borrower &To, TimePoint Now) {
  std::uint32_t MaxCount = 0;
  for (const Loan &Each : To.Loans)
    if (Each.ExpiresAt > Now)
      MaxCount = std::max(MaxCount, Each.Count);
  return MaxCount;
}

std::uint32_t ShareLender::lent(TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const auto &[Key, To] : this->Borrowers)
    Sum += lentTo(To, Now);
  return Sum;
}

void ShareLender::removeExpired(TimePoint Now) {
  for (auto &[Key, To] : this->Borrowers)
    std::erase_if(To.Loans, [&](const Loan &L) { return L.ExpiresAt <= Now; });
  std::erase_if(this->Borrowers, [&](const auto &Entry) {
    return Entry.second.Loans.empty() && Entry.second.RemoveAt <= Now;
  });
}

std::optional<ShareGrant> ShareLender::onRequest(const InstanceId &From,
                                                 const ShareRequest &Request,
                                                 std::uint32_t Lendable,
                                                 TimePoint Now) {
  this->removeExpired(Now);
  BorrowerKey Key{.Instance = From, .Incarnation = Request.Incarnation};
  if (!this->Borrowers.contains(Key) && this->Borrowers.size() >= MaxBorrowers)
    return std::nullopt;
  Borrower &To = this->Borrowers[Key];
  if (Request.Sequence <= To.LastSequence)
    return std::nullopt;
  To.LastSequence = Request.Sequence;
  To.RemoveAt = Now + SequenceRetention;
  std::erase_if(To.Loans,
                [&](const Loan &L) { return L.Sequence < Request.Accepted; });
  std::uint32_t Others = this->lent(Now) - lentTo(To, Now);
  std::uint32_t Free = Lendable > Others ? Lendable - Others : 0;
  ShareGrant Grant{.Target = Request.Target,
                   .Incarnation = Request.Incarnation,
                   .Sequence = Request.Sequence,
                   .SentAt = Request.SentAt,
                   .Count = std::min(Request.Wanted, Free),
                   .ValidFor = this->Options.Lease.count()};
  Grant.Spare = Free - Grant.Count;
  To.Loans.push_back(
      {.Sequence = Request.Sequence,
       .Count = Grant.Count,
       .ExpiresAt = Now + this->Options.Lease + this->Options.Margin});
  return Grant;
}

} // namespace turmericpitch
