#include "membership/CopyFollower.h"

#include <algorithm>
#include <vector>

namespace turmericpitch {

void CopyFollower::onHeld(std::uint64_t Version) {
  if (Version > this->Held)
    this->NewerIsUnusable = false;
  this->Held = std::max(this->Held, Version);
  if (!this->isBehind())
    this->Holders.clear();
}

void CopyFollower::onConfirmed(TimePoint Time) {
  this->ConfirmedAt = std::max(this->ConfirmedAt.value_or(Time), Time);
}

void CopyFollower::onStoreAsked(TimePoint Now) { this->StoreAskedAt = Now; }

void CopyFollower::onStoreAnswered(TimePoint Now, bool IsCurrent) {
  this->StoreAskedAt.reset();
  bool StoreIsOlder = IsCurrent && this->isBehind();
  this->StoreFailed = StoreIsOlder;
  this->NextStoreCallAt =
      StoreIsOlder ? Now + this->Options.OlderStorePause : TimePoint::min();
}

void CopyFollower::onStoreFailed(TimePoint NextAt) {
  this->StoreAskedAt.reset();
  this->StoreFailed = true;
  this->NextStoreCallAt = NextAt;
}

void CopyFollower::onReport(const InstanceId &From, const CopyReport &Report,
                            TimePoint QuerySentAt, TimePoint Now) {
  // The report was made after the query was sent, so its age counts from there.
  if (Report.Version <= this->Held) {
    if (Report.ConfirmedAge)
      this->onConfirmed(QuerySentAt - *Report.ConfirmedAge);
    return;
  }
  if (Report.Version > this->Newest) {
    this->Newest = Report.Version;
    this->Holders.clear();
    this->FirstHolderAt = Now;
  }
  if (Report.Version == this->Newest)
    this->NewestReportedAt = Now;
  // Builds that don't tell the age don't serve copies either.
  if (Report.Version == this->Newest && Report.ConfirmedAge)
    this->Holders.try_emplace(From, TimePoint::min());
}

void CopyFollower::onCopyReceived() {
  this->CopyRequested = false;
  this->CopyFailures = 0;
}

void CopyFollower::onCopyFailed(const InstanceId &From, TimePoint Now) {
  this->CopyRequested = false;
  Duration Pause = this->Options.CopyPause;
  for (std::size_t Count = 0;
       Count < this->CopyFailures && Pause < this->Options.MaxCopyPause;
       ++Count)
    Pause *= 2;
  ++this->CopyFailures;
  this->NextCopyAt = Now + std::min(Pause, this->Options.MaxCopyPause);
  auto Holder = this->Holders.find(From);
  if (Holder != this->Holders.end())
    Holder->second = Now + this->Options.HolderPause;
}

bool CopyFollower::isUnconfirmed(TimePoint Now) const {
  return !this->ConfirmedAt ||
         Now - *this->ConfirmedAt > this->Options.MaxUnconfirmed;
}

bool CopyFollower::storeAnswers(TimePoint Now) const {
  return !this->StoreFailed &&
         (!this->StoreAskedAt ||
          Now - *this->StoreAskedAt <= this->Options.StorePatience);
}

std::optional<InstanceId> CopyFollower::chooseHolder(TimePoint Now) {
  if (this->Holders.size() < this->Options.EnoughHolders &&
      Now - this->FirstHolderAt < this->Options.HolderWait)
    return std::nullopt;
  std::vector<const InstanceId *> Usable;
  for (const auto &[Id, NextAt] : this->Holders)
    if (NextAt <= Now)
      Usable.push_back(&Id);
  if (Usable.empty())
    return std::nullopt;
  return *Usable[this->Random.nextBelow(
      static_cast<std::uint32_t>(Usable.size()))];
}

CopyActions CopyFollower::next(TimePoint Now, bool IsReader, bool MayAskStore) {
  if (this->isBehind() && !this->CopyRequested &&
      Now - this->NewestReportedAt > this->Options.ReportLifetime) {
    this->Newest = this->Held;
    this->Holders.clear();
  }
  CopyActions Due;
  bool ReaderDue =
      IsReader && (!this->ConfirmedAt ||
                   Now - *this->ConfirmedAt >= this->Options.ReaderInterval);
  bool Unconfirmed = this->isUnconfirmed(Now);
  Due.AskStore = (ReaderDue || Unconfirmed || this->isBehind()) &&
                 MayAskStore && !this->StoreAskedAt &&
                 Now >= this->NextStoreCallAt;
  // Not while the call has just been sent and may be answered.
  bool StoreFailing = !MayAskStore || !this->storeAnswers(Now);
  Due.QueryInstances =
      (Unconfirmed || (this->isBehind() && StoreFailing)) &&
      (!this->QueriedAt || Now - *this->QueriedAt >= this->QueryPause);
  if (!Unconfirmed || this->isBehind()) {
    this->Queries = 0;
    this->QueryPause = this->Options.QueryPause;
  }
  if (Due.QueryInstances) {
    this->QueriedAt = Now;
    if (++this->Queries > this->Options.FastQueries)
      this->QueryPause =
          std::min(this->Options.MaxQueryPause, 2 * this->QueryPause);
  }
  if (this->isBehind() && StoreFailing && !this->CopyRequested &&
      Now >= this->NextCopyAt)
    Due.CopyFrom = this->chooseHolder(Now);
  return Due;
}

CopyReport CopyFollower::report(TimePoint Now) const {
  CopyReport Report{.Version = this->Held};
  if (this->ConfirmedAt && !this->NewerIsUnusable)
    Report.ConfirmedAge = std::max(Duration{0}, Now - *this->ConfirmedAt);
  return Report;
}

} // namespace turmericpitch
