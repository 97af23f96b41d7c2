// This instance's right to its share of all limits.
#pragma once

#include "limits/OwnerTable.h"

#include <map>
#include <optional>

namespace turmericpitch {

struct ShareRightOptions {
  /// How long a right lasts after the sending of the read that showed its
  /// table. Longer than the users' longest outages of the store.
  Duration Validity = std::chrono::seconds(60);
  /// Covers clocks whose rates differ by up to 2%: a table is replaced only
  /// this much later than the end of the older rights.
  Duration Margin = std::chrono::seconds(3);
  /// The first table waits until the list of instances has been the same for
  /// this long, as owners that come later wait for minutes.
  Duration StableListTime = std::chrono::seconds(2);
  /// An owner that restarts within this time keeps its share.
  Duration ChangeDelay = std::chrono::seconds(30);
};

/// Tracks the owner table, and decides how large a share this instance may use
/// and when the table may be replaced. The shares in use by all instances never
/// add up to more than one, whoever can't read the store. Pure; not
/// thread-safe.
class ShareRight {
public:
  ShareRight(InstanceId Self, ShareRightOptions Options)
      : Self(std::move(Self)), Options(Options) {}

  /// The table and its store revision, as shown by this instance's own current
  /// read sent at ReadSentAt. If the store has none, Table.Epoch is 0 and
  /// Stored a position of the store's era. A read of an older state is ignored.
  /// Precondition: reads are passed in the order in which they were sent, each
  /// sent after the one before was answered.
  void onRead(const OwnerTable &Table, Revision Stored, TimePoint ReadSentAt,
              TimePoint Now);
  /// This instance's own current read has shown an entry at Stored that can't
  /// be decoded. The right by the table before it goes on until it ends.
  /// Precondition: as for onRead.
  void onUnreadable(Revision Stored, TimePoint Now);
  /// Another instance has read the same table with a read sent no earlier than
  /// ReadSentAt. Ignored for another epoch or revision.
  void onConfirmed(std::uint64_t Epoch, Revision Stored, TimePoint ReadSentAt);
  /// The share of all limits that this instance owns now, from 0 to 1.
  [[nodiscard]] double share(TimePoint Now) const;
  /// The table that should replace the present one, given the registered
  /// instances; nothing if it need not or may not be replaced yet. Call
  /// regularly. Precondition of the write: the key is unchanged since
  /// replaced(), in the same era of the store.
  [[nodiscard]] std::optional<OwnerTable>
  proposeChange(const std::vector<InstanceId> &Registered, TimePoint Now);
  [[nodiscard]] const OwnerTable &table() const { return this->Table; }
  [[nodiscard]] Revision stored() const { return this->Stored; }
  /// The store revision of what a proposed table replaces.
  [[nodiscard]] Revision replaced() const {
    return this->Unreadable ? this->Unreadable->Stored : this->Stored;
  }
  /// When the newest read of the present table was sent.
  [[nodiscard]] const std::optional<TimePoint> &readSentAt() const {
    return this->ReadSentAt;
  }

private:
  /// An entry that another writer left in place of the table.
  struct UnreadableEntry {
    Revision Stored;
    /// When it was first known here.
    TimePoint SeenAt;
  };

  [[nodiscard]] bool isOfOlderCopy() const;
  /// Whether all rights by older tables have certainly expired.
  [[nodiscard]] bool olderRightsExpired(TimePoint Now) const;
  [[nodiscard]] bool mayCreateTable(TimePoint Now) const;
  void trackMembership(const std::vector<InstanceId> &Sorted, TimePoint Now);
  [[nodiscard]] bool hasLastingDifference(TimePoint Now) const;

  InstanceId Self;
  ShareRightOptions Options;
  OwnerTable Table;
  Revision Stored;
  std::optional<UnreadableEntry> Unreadable;
  std::optional<TimePoint> ReadSentAt;
  /// When the present table was first known here.
  TimePoint FirstKnownAt;
  /// The share that was in use when the present table became known.
  double PriorShare = 0;
  bool KnewTable = false;
  std::vector<InstanceId> Registered;
  TimePoint RegisteredSince;
  /// Owners that aren't registered and instances that aren't owners, and since
  /// when.
  std::map<InstanceId, TimePoint> Differences;
};

} // namespace turmericpitch
