// How many connections this instance opens to one member.
#pragma once

#include "core/Time.h"

#include <cstddef>

namespace turmericpitch {

struct ConnectionAllowanceOptions {
  /// Connections that the member takes from all instances together.
  std::size_t MemberLimit = 1;
  /// Instances that share them.
  std::size_t Instances = 1;
  /// After a refusal at the limit, how long no further one is opened.
  Duration RefusalPause = std::chrono::milliseconds(500);
  /// The same while this instance holds none.
  Duration RefusalPauseWithoutConnections = std::chrono::milliseconds(100);
};

/// Starts at twice the even share, so that instances with more callers find
/// room, gives way when the member refuses, and grows back. A refusal at the
/// limit proves that nothing ran, so trying costs little. Pure; not
/// thread-safe.
class ConnectionAllowance {
public:
  explicit ConnectionAllowance(ConnectionAllowanceOptions Options);

  void configure(ConnectionAllowanceOptions Changed);
  /// The member refused a connection at its limit while Open were held.
  void onRefused(std::size_t Open, TimePoint Now);
  /// How many may be open now.
  [[nodiscard]] std::size_t allowed(TimePoint Now) const;
  /// The share that is never given way.
  [[nodiscard]] std::size_t evenShare() const;

private:
  ConnectionAllowanceOptions Options;
  std::size_t ReducedLimit = 0;
  TimePoint ReducedAt;
  bool WasRefused = false;
};

} // namespace turmericpitch
