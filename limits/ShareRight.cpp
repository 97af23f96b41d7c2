#include "limits/ShareRight.h"

#include <algorithm>

namespace turmericpitch {

void ShareRight::onRead(const OwnerTable &Table, Revision Stored,
                        TimePoint ReadSentAt, TimePoint Now) {
  // The table was deleted: an own read is never of an older state of one era.
  bool Deleted = Table.Epoch == 0 && eraOf(Stored) == eraOf(this->Stored);
  if (this->ReadSentAt && Stored < this->Stored && !Deleted)
    return;
  this->Unreadable.reset();
  // The position of a store without a table need not be the same.
  bool Same = this->ReadSentAt && Table.Epoch == this->Table.Epoch &&
              (Stored == this->Stored ||
               (Table.Epoch == 0 && eraOf(Stored) == eraOf(this->Stored)));
  if (Same) {
    this->ReadSentAt = std::max(*this->ReadSentAt, ReadSentAt);
    return;
  }
  this->PriorShare = this->share(Now);
  this->KnewTable = this->KnewTable || Table.Epoch > 0;
  this->Table = Table;
  this->Stored = Stored;
  this->ReadSentAt = ReadSentAt;
  this->FirstKnownAt = Now;
  this->Differences.clear();
}

void ShareRight::onUnreadable(Revision Stored, TimePoint Now) {
  if (!this->Unreadable || this->Unreadable->Stored != Stored)
    this->Unreadable = {.Stored = Stored, .SeenAt = Now};
}

void ShareRight::onConfirmed(std::uint64_t Epoch, Revision Stored,
                             TimePoint ReadSentAt) {
  if (!this->ReadSentAt || Epoch == 0 || Epoch != this->Table.Epoch ||
      Stored != this->Stored)
    return;
  this->ReadSentAt = std::max(*this->ReadSentAt, ReadSentAt);
}

bool ShareRight::isOfOlderCopy() const {
  return this->Table.WrittenIn != eraOf(this->Stored);
}

bool ShareRight::olderRightsExpired(TimePoint Now) const {
  return Now - this->FirstKnownAt >=
         this->Options.Validity + this->Options.Margin;
}

double ShareRight::share(TimePoint Now) const {
  if (this->Table.Epoch == 0 || !this->ReadSentAt ||
      Now - *this->ReadSentAt >= this->Options.Validity)
    return 0;
  double Share = shareAmong(this->Table.Owners, this->Self);
  // Twice, as an instance that reads an older copy of the store goes on with
  // the share it has, unaware of a table that the restore has lost.
  Duration Growth = 2 * (this->Options.Validity + this->Options.Margin);
  if (Now - this->FirstKnownAt >= Growth)
    return Share;
  return std::min(Share,
                  this->isOfOlderCopy()
                      ? this->PriorShare
                      : shareAmong(this->Table.PreviousOwners, this->Self));
}

void ShareRight::trackMembership(const std::vector<InstanceId> &Sorted,
                                 TimePoint Now) {
  if (Sorted != this->Registered) {
    this->Registered = Sorted;
    this->RegisteredSince = Now;
  }
  std::vector<InstanceId> Different;
  std::set_symmetric_difference(
      Sorted.begin(), Sorted.end(), this->Table.Owners.begin(),
      this->Table.Owners.end(), std::back_inserter(Different));
  std::erase_if(this->Differences, [&](const auto &Entry) {
    return !std::binary_search(Different.begin(), Different.end(), Entry.first);
  });
  for (const InstanceId &Each : Different)
    this->Differences.emplace(Each, Now);
}

bool ShareRight::hasLastingDifference(TimePoint Now) const {
  return std::any_of(this->Differences.begin(), this->Differences.end(),
                     [&](const auto &Entry) {
                       return Now - Entry.second >= this->Options.ChangeDelay;
                     });
}

bool ShareRight::mayCreateTable(TimePoint Now) const {
  if (Now - this->RegisteredSince < this->Options.StableListTime)
    return false;
  // A table that was lost may still be in use.
  bool MayHaveLostTable = this->KnewTable || eraOf(this->Stored).Value > 0;
  return !MayHaveLostTable || this->olderRightsExpired(Now);
}

std::optional<OwnerTable>
ShareRight::proposeChange(const std::vector<InstanceId> &Registered,
                          TimePoint Now) {
  std::vector<InstanceId> Next = Registered;
  std::sort(Next.begin(), Next.end());
  Next.erase(std::unique(Next.begin(), Next.end()), Next.end());
  this->trackMembership(Next, Now);
  if (Next.empty())
    return std::nullopt;
  if (this->Unreadable) {
    // No read has shown a table since, so all rights have expired by then.
    if (Now - this->Unreadable->SeenAt <
        this->Options.Validity + this->Options.Margin)
      return std::nullopt;
    return OwnerTable{.Epoch = this->Table.Epoch + 1,
                      .Owners = Next,
                      .PreviousOwners = Next,
                      .WrittenIn = eraOf(this->Unreadable->Stored)};
  }
  if (!this->ReadSentAt)
    return std::nullopt;
  StoreEra Era = eraOf(this->Stored);
  if (this->Table.Epoch == 0) {
    if (!this->mayCreateTable(Now))
      return std::nullopt;
    return OwnerTable{
        .Epoch = 1, .Owners = Next, .PreviousOwners = Next, .WrittenIn = Era};
  }
  if (!this->olderRightsExpired(Now))
    return std::nullopt;
  // A table of an older copy is replaced in any case: an instance that starts
  // may use no share of it.
  if (!this->isOfOlderCopy() && !this->hasLastingDifference(Now))
    return std::nullopt;
  return OwnerTable{.Epoch = this->Table.Epoch + 1,
                    .Owners = std::move(Next),
                    .PreviousOwners = this->Table.Owners,
                    .WrittenIn = Era};
}

} // namespace turmericpitch
