// Decides which relay an instance queries for what the reader has read.
#pragma once

#include "membership/InstanceRegistry.h"

namespace turmericpitch {

/// A relay as seen by the instance that queries it. Immutable value.
struct RelayView {
  const RegisteredInstance *Entry = nullptr;
  /// Whether it has left queries unanswered for so long that others are used.
  bool Silent = false;
  /// Whether it has left the last query unanswered.
  bool MissedLast = false;
};

struct RelayChoiceOptions {
  /// One of this many turns also queries a silent relay: nothing else would
  /// show that it answers again.
  std::size_t SilentPeriod = 5;
};

/// The relays to query in one turn; nullptr for none. Immutable value.
struct RelayChoice {
  const RegisteredInstance *Source = nullptr;
  const RegisteredInstance *Silent = nullptr;

  bool operator==(const RelayChoice &) const = default;
};

/// Chooses among the relays, which are in the order of their rank; the first
/// that isn't silent is the reader. Zone is that of the instance, and Seed
/// differs between instances, so that they spread over the relays of a zone.
/// IsRelay: whether the instance is a relay itself, which queries the reader.
/// Pure; thread-safe.
RelayChoice chooseRelay(const RelayChoiceOptions &Options,
                        const std::vector<RelayView> &Relays,
                        const ZoneId &Zone, bool IsRelay, std::uint64_t Seed,
                        std::size_t Turn);

} // namespace turmericpitch
