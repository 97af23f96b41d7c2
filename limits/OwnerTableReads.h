// Decides when an instance reads the owner table from the store.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

struct OwnerTableReadOptions {
  /// How often a keeper reads the owner table; the others learn its age from
  /// the keepers' replies.
  Duration KeeperInterval = std::chrono::seconds(10);
  /// How often a keeper reads it while the store holds none.
  Duration MissingTableInterval = std::chrono::milliseconds(1000);
  /// The same for the others: they learn of the first table from the keepers,
  /// unless they reach none.
  Duration MissingTableFallbackInterval = std::chrono::seconds(5);
  /// Age of the newest read from which any instance reads the table itself.
  Duration MaxAge = std::chrono::seconds(25);
};

/// What an instance knows of the owner table. Immutable value.
struct OwnerTableKnowledge {
  /// When this instance last read the table; empty if it hasn't yet.
  std::optional<TimePoint> ReadAt = std::nullopt;
  /// When the newest read by any instance that showed the same table was sent.
  std::optional<TimePoint> ConfirmedAt = std::nullopt;
  /// Whether the store held a table.
  bool Exists = false;
  /// Whether another instance knows a newer table.
  bool NewerKnown = false;
  bool IsKeeper = false;

  bool operator==(const OwnerTableKnowledge &) const = default;
};

/// Answers a fleet that starts at once, in which each instance would ask the
/// store for a table that one of them is about to write. Pure; thread-safe.
bool isOwnerTableReadDue(const OwnerTableReadOptions &Options,
                         const OwnerTableKnowledge &Known, TimePoint Now);

} // namespace turmericpitch
