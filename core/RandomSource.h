// A seeded pseudo-random number generator.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>

namespace turmericpitch {

/// A seeded generator; the same seed gives the same sequence on every platform.
/// Not thread-safe; every owner uses its own instance.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : Generator(Seed) {}

  /// A uniform number in [0, Bound). Precondition: Bound > 0.
  std::uint32_t nextBelow(std::uint32_t Bound) {
    return this->Generator(Bound);
  }
  /// A uniform number in [0, 1).
  double fraction() {
    constexpr double Scale = 4294967296.0;
    return this->Generator() / Scale;
  }
  /// True with the given probability in [0, 1].
  bool chance(double Probability) { return this->fraction() < Probability; }

private:
  pcg32 Generator;
};

} // namespace turmericpitch
