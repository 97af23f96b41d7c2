// Estimates the number of connections that an instance needs to one member.
#pragma once

#include <cstddef>
#include <cstdint>

namespace turmericpitch {

/// Smooths load samples that are taken at regular intervals. A peak in a single
/// sample does not count as demand, because the queue absorbs it. Pure; not
/// thread-safe.
class DemandEstimate {
public:
  /// Adds a sample: the number of statements in service and waiting.
  void onSample(std::size_t Load);
  /// The mean load plus one standard deviation of a Poisson process.
  [[nodiscard]] std::uint32_t need() const;

private:
  double Mean = 0;
};

} // namespace turmericpitch
