// Refuses frames that were seen before or are too old.
#pragma once

#include "membership/InstanceRecord.h"

namespace turmericpitch {

/// The messages received from one sender. Not thread-safe.
class ReplayGuard {
public:
  /// Whether a message with this incarnation and sequence is new; notes it
  /// if so. Accepts reordering within WindowSize messages. A higher
  /// incarnation begins anew, a lower one is refused.
  bool admit(Incarnation IncarnationNumber, std::uint64_t Sequence);

  static constexpr std::uint64_t WindowSize = 64;

private:
  Incarnation IncarnationNumber;
  std::uint64_t Highest = 0;
  /// Bit n is set once Highest - n was received.
  std::uint64_t ReceivedMask = 0;
};

} // namespace turmericpitch
