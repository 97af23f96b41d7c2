// Decides when to open a connection before one is needed.
#pragma once

#include "core/RandomSource.h"
#include "core/Time.h"

namespace turmericpitch {

struct SpareConnectionsOptions {
  /// Idle connections kept open to each member, within what may be open.
  std::size_t Spares = 2;
  /// Time between two attempts; grows twofold with each failure in a row.
  Duration MinInterval = std::chrono::milliseconds(50);
  Duration MaxInterval = std::chrono::seconds(5);
  std::uint64_t Seed = 1;
};

/// The connections to one member at present.
struct ConnectionCounts {
  std::size_t Idle = 0;
  /// Idle, in use and being opened.
  std::size_t Open = 0;
  std::size_t Usable = 0;

  bool operator==(const ConnectionCounts &) const = default;
};

/// Keeps spares open at a bounded rate, so that neither a promotion nor a
/// member's return brings a burst of connects. Pure; not thread-safe.
class SpareConnections {
public:
  explicit SpareConnections(SpareConnectionsOptions Options)
      : Options(Options), Random(Options.Seed) {}

  /// Whether to open one connection now; then call onOpened().
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
