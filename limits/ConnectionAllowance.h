// Limits the number of connections that this instance opens to one member.
#pragma once

#include "core/Time.h"

#include <cstddef>

namespace turmericpitch {

struct ConnectionAllowanceOptions {
  /// Connections that the member accepts from all instances together.
  std::size_t MemberLimit = 1;
  /// Number of instances that share the member's connections.
  std::size_t Instances = 1;
  /// Time after a refusal at the member's limit during which no further
  /// connection is opened.
  Duration RefusalPause = std::chrono::milliseconds(500);
  /// The same while this instance holds no connection.
  Duration RefusalPauseWithoutConnections = std::chrono::milliseconds(100);
};

/// Starts at twice the even share to leave room for instances with more callers
/// than others, shrinks to the open connections when the member refuses one,
/// and grows back. A refusal at the limit proves that nothing ran, so an
/// attempt is cheap. Pure; not thread-safe.
class ConnectionAllowance {
public:
  explicit ConnectionAllowance(ConnectionAllowanceOptions Options);

  void configure(ConnectionAllowanceOptions Changed);
  /// The member refused a connection at its limit while this instance had Open
  /// connections.
  void onRefused(std::size_t Open, TimePoint Now);
  /// Number of connections that may be open now.
  [[nodiscard]] std::size_t allowed(TimePoint Now) const;
  /// The member's limit divided evenly between the instances; at least 1.
  [[nodiscard]] std::size_t evenShare() const;

private:
  ConnectionAllowanceOptions Options;
  std::size_t ReducedLimit = 0;
  TimePoint ReducedAt;
  bool WasRefused = false;
};

} // namespace turmericpitch
