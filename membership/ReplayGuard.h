// Rejects messages that are replayed or too old.
#pragma once

#include "membership/InstanceRecord.h"

namespace turmericpitch {

/// Sliding window over the messages received from one sender. Not thread-safe.
class ReplayGuard {
public:
  /// Returns whether a message with this incarnation and sequence number is
  /// new, and records it if so. Accepts reordering within WindowSize messages.
  /// A higher incarnation resets the window, a lower one is rejected.
  bool admit(Incarnation IncarnationNumber, std::uint64_t Sequence);

  static constexpr std::uint64_t WindowSize = 64;

private:
  Incarnation IncarnationNumber;
  std::uint64_t Highest = 0;
  /// Bit n is set once Highest - n was received.
  std::uint64_t ReceivedMask = 0;
};

} // namespace turmericpitch
