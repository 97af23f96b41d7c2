// Positions in a database group's replicated log.
#pragma once

#include "core/Name.h"

#include <vector>

namespace turmericpitch {

/// The number of a primary's term, as in Raft; increases with every promotion.
using Term = Number<struct TermTag>;
/// Index of a log entry, counted from 1 across all terms; 0 means an empty log.
using LogPosition = Number<struct LogPositionTag>;

/// Identifies a log entry by the term that wrote it and its index.
/// Ordered by term, then by index. The order tells which of two logs is more
/// up to date, not whether one contains the other (see TermHistory).
struct TermPosition {
  Term WrittenIn;
  LogPosition Position;

  auto operator<=>(const TermPosition &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->WrittenIn, this->Position);
  }
};

/// Where a term's entries begin in a log: the first has index PrecedingPosition
/// + 1.
struct TermStart {
  Term NewTerm;
  LogPosition PrecedingPosition;

  auto operator<=>(const TermStart &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->NewTerm, this->PrecedingPosition);
  }
};

/// The terms in which a log was written, oldest first. Immutable value.
class TermHistory {
public:
  TermHistory() = default;
  /// Precondition: in Starts, terms strictly increase and positions do not
  /// decrease.
  explicit TermHistory(std::vector<TermStart> Starts);

  /// Whether a log with this history whose last entry is at Reached contains
  /// Entry. Thread-safe.
  [[nodiscard]] bool contains(const TermPosition &Entry,
                              LogPosition Reached) const;
  /// Whether a later promotion has discarded Entry. A log with this history can
  /// then never contain it, whatever its length. Thread-safe.
  [[nodiscard]] bool discards(const TermPosition &Entry) const;
  /// The entry at Position of a log with this history; its term is 0 if the
  /// history has no term for that position. Thread-safe.
  [[nodiscard]] TermPosition entryAt(LogPosition Position) const;
  /// The newest term, or 0 if the history is empty. Thread-safe.
  [[nodiscard]] Term newestTerm() const;
  /// A copy of this history with one more term. Precondition: Start.NewTerm is
  /// newer than newestTerm(). Thread-safe.
  [[nodiscard]] TermHistory extended(const TermStart &Start) const;
  /// Oldest first. Thread-safe.
  [[nodiscard]] const std::vector<TermStart> &starts() const;

  bool operator==(const TermHistory &) const = default;

private:
  std::vector<TermStart> Starts;
};

} // namespace turmericpitch
