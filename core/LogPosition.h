// Positions in a database group's replicated log.
#pragma once

#include "core/Name.h"

#include <vector>

namespace turmericpitch {

/// Number of a primary's reign; grows with every promotion.
using Term = Number<struct TermTag>;
/// Index of a log entry, counted from 1 over all terms; 0 is the empty log.
using LogPosition = Number<struct LogPositionTag>;

/// A log entry's identity: the term that wrote it and its index.
/// Ordered by term, then index; this order says which of two logs is further,
/// not whether one contains the other (see TermHistory).
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

/// The terms that wrote a log, oldest first. Immutable value.
class TermHistory {
public:
  TermHistory() = default;
  /// Precondition: Starts is strictly ascending in term and not descending
  /// in position.
  explicit TermHistory(std::vector<TermStart> Starts);

  /// Whether a log with this history that reaches up to Reached holds Entry.
  /// Thread-safe.
  [[nodiscard]] bool contains(const TermPosition &Entry,
                              LogPosition Reached) const;
  /// Whether Entry was cut off by a later promotion and can never be held by
  /// a log with this history, however far it reaches. Thread-safe.
  [[nodiscard]] bool discards(const TermPosition &Entry) const;
  /// The entry that a log with this history has at Position; term 0 if no
  /// term wrote it. Thread-safe.
  [[nodiscard]] TermPosition entryAt(LogPosition Position) const;
  /// The newest term that wrote, or term 0. Thread-safe.
  [[nodiscard]] Term newestTerm() const;
  /// This history with one more term. Precondition: Start.NewTerm is newer
  /// than newestTerm(). Thread-safe.
  [[nodiscard]] TermHistory extended(const TermStart &Start) const;
  /// Oldest first. Thread-safe.
  [[nodiscard]] const std::vector<TermStart> &starts() const;

  bool operator==(const TermHistory &) const = default;

private:
  std::vector<TermStart> Starts;
};

} // namespace turmericpitch
