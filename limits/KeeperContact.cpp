#include "limits/KeeperContact.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Requests older than the newest ones are given up.
constexpr std::size_t MaxOutstanding = 64;
/// Enough to get from the first probe interval to any reasonable last one.
constexpr std::uint32_t MaxProbeDoublings = 16;

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

TimePoint KeeperContact::nextProbeAt() const {
  if (!this->LastSentAt)
    return TimePoint{};
  if (this->Stamp)
    return *this->LastSentAt + this->Options.ProbeInterval;
  std::uint32_t Doublings =
      std::min(this->FirstRequests, MaxProbeDoublings + 1) - 1;
  return *this->LastSentAt +
         std::min(this->Options.ProbeInterval,
                  this->Options.FirstProbeInterval * (1U << Doublings));
}

bool KeeperContact::probeDue(TimePoint Now) const {
  return Now >= this->nextProbeAt();
}

std::uint64_t KeeperContact::onSend(TimePoint Now) {
  this->LastSentAt = Now;
  if (!this->Stamp)
    ++this->FirstRequests;
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
