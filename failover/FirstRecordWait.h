// When an instance reads the store again while there are no primary records.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

/// What an instance knows of the primary records. Immutable value.
struct FirstRecordView {
  /// Whether it knows a record, read or reported by another instance.
  bool AnyRecord = false;
  /// When it sent its last read that found no record in the store; empty if no
  /// read did.
  std::optional<TimePoint> FoundNoneAt = std::nullopt;

  bool operator==(const FirstRecordView &) const = default;
};

/// Whether the instance waits for the first record instead of reading the
/// store. Answers the start of a whole fleet: until the instances know each
/// other, each takes itself for the reader of the store, and all would read an
/// empty listing four times a second. Whoever writes the first record reports
/// it. Precondition: Interval > 0. Pure; thread-safe.
bool awaitsFirstRecord(const FirstRecordView &Seen, Duration Interval,
                       TimePoint Now);

} // namespace turmericpitch
