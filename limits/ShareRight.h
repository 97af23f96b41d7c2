// This instance's right to its share of all limits.
#pragma once

#include "limits/OwnerTable.h"

#include <optional>

namespace turmericpitch {

struct ShareRightOptions {
  /// How long a right lasts after the sending of the read that showed its
  /// table. Longer than the users' longest outages of the store.
  Duration Validity = std::chrono::seconds(60);
  /// Covers clocks whose rates differ: a table is replaced, and a share grows,
  /// only this much later than the end of the older rights.
  Duration Margin = std::chrono::seconds(2);
};

/// Tracks the owner table, and decides how large a share this instance may use
/// and when the table may be replaced. The shares in use by all instances never
/// add up to more than one, whoever can't read the store. Pure; not
/// thread-safe.
class ShareRight {
public:
  ShareRight(InstanceId Self, ShareRightOptions Options);

  /// The table and its store revision, as shown by this instance's own current
  /// read sent at ReadSentAt. Table.Epoch is 0 if the store has none.
  void onRead(const OwnerTable &Table, Revision Stored, TimePoint ReadSentAt);
  /// Another instance has read the same table with a read sent no earlier than
  /// ReadSentAt. Ignored for another epoch or revision.
  void onConfirmed(std::uint64_t Epoch, Revision Stored, TimePoint ReadSentAt);
  /// The share of all limits that this instance owns now, from 0 to 1.
  [[nodiscard]] double share(TimePoint Now) const;
  /// The table that should replace the present one, given the registered
  /// instances; nothing if it need not or may not be replaced yet.
  [[nodiscard]] std::optional<OwnerTable>
  proposeChange(const std::vector<InstanceId> &Registered, TimePoint Now) const;
  [[nodiscard]] const OwnerTable &table() const { return this->Table; }
  [[nodiscard]] Revision stored() const { return this->Stored; }
  /// When the newest read of the present table was sent.
  [[nodiscard]] const std::optional<TimePoint> &readSentAt() const {
    return this->ReadSentAt;
  }

private:
  InstanceId Self;
  ShareRightOptions Options;
  OwnerTable Table;
  Revision Stored;
  std::optional<TimePoint> ReadSentAt;
  /// When the present table was first known here.
  TimePoint FirstKnownAt;
};

} // namespace turmericpitch
