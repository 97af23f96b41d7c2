// Decides when to open spare connections before they are needed.
#pragma once

#include "core/RandomSource.h"
#include "core/Time.h"

namespace turmericpitch {

struct SpareConnectionsOptions {
  /// Idle connections kept open to each member, within the number that may be
  /// open.
  std::size_t Spares = 2;
  /// Time between two attempts; doubles with each consecutive failure, up to
  /// MaxInterval.
  Duration MinInterval = std::chrono::milliseconds(50);
  Duration MaxInterval = std::chrono::seconds(5);
  std::uint64_t Seed = 1;
};

/// Number of connections to one member at present.
struct ConnectionCounts {
  std::size_t Idle = 0;
  /// Connections that are idle, in use or being opened.
  std::size_t Open = 0;
  std::size_t Usable = 0;

  bool operator==(const ConnectionCounts &) const = default;
};

/// Opens spare connections at a bounded rate, so that neither a promotion nor
/// the return of a member causes a burst of connection attempts. Pure; not
/// thread-safe.
class SpareConnections {
public:
  explicit SpareConnections(SpareConnectionsOptions Options)
      : Options(Options), Random(Options.Seed) {}

  /// Returns whether to open one connection now. If true, the caller must
  /// report the result with onOpened().
  bool shouldOpen(const ConnectionCounts &Counts, TimePoint Now);
  void onOpened(bool Succeeded, TimePoint Now);

private:
  SpareConnectionsOptions Options;
  RandomSource Random;
  bool Opening = false;
  std::uint32_t FailuresInRow = 0;
  TimePoint NextAttemptAt;
};

} // namespace turmericpitch
