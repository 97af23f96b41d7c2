#include "limits/KeeperContact.h"

namespace turmericpitch {

namespace {

/// Requests older than the newest ones are given up.
constexpr std::size_t MaxOutstanding = 64;

} // namespace

bool KeeperContact::reachable(TimePoint Now) const {
  if (!this->Stamp)
    return false;
  auto First = this->Outstanding.upper_bound(this->AnsweredSequence);
  if (First == this->Outstanding.end() ||
      std::next(First) == this->Outstanding.end())
    return true;
  return Now - First->second < this->Options.SilenceTimeout;
}

bool KeeperContact::probeDue(TimePoint Now) const {
  return !this->LastSentAt ||
         Now - *this->LastSentAt >= this->Options.ProbeInterval;
}

std::uint64_t KeeperContact::onSend(TimePoint Now) {
  this->LastSentAt = Now;
  this->Outstanding.emplace(++this->LastSequence, Now);
  if (this->Outstanding.size() <= MaxOutstanding)
    return this->LastSequence;
  // The first one since the newest reply is kept: it tells since when the
  // keeper has been silent.
  auto First = this->Outstanding.begin();
  this->Outstanding.erase(
      First->first < this->AnsweredSequence ? First : std::next(First));
  return this->LastSequence;
}

std::optional<TimePoint> KeeperContact::sentAt(std::uint64_t Sequence) const {
  auto Found = this->Outstanding.find(Sequence);
  if (Found == this->Outstanding.end())
    return std::nullopt;
  return Found->second;
}

std::optional<TimePoint> KeeperContact::onReply(const LimitReply &Reply,
                                                TimePoint Now) {
  std::optional<TimePoint> SentAt = this->sentAt(Reply.RequestSequence);
  if (!SentAt)
    return std::nullopt;
  this->Outstanding.erase(Reply.RequestSequence);
  if (Reply.RequestSequence < this->AnsweredSequence)
    return SentAt;
  this->AnsweredSequence = Reply.RequestSequence;
  this->Stamp = Reply.Stamp;
  this->StampReceivedAt = Now;
  return SentAt;
}

} // namespace turmericpitch
