// Estimates how many connections an instance needs to one member.
#pragma once

#include <cstddef>
#include <cstdint>

namespace turmericpitch {

/// Smooths samples of the load, taken in regular intervals. A peak that one
/// sample shows is no need: the queue bridges it. Pure; not thread-safe.
class DemandEstimate {
public:
  /// Statements in service and waiting at present.
  void onSample(std::size_t Load);
  /// The mean and one standard deviation of arrivals at random.
  [[nodiscard]] std::uint32_t need() const;

private:
  double Mean = 0;
};

} // namespace turmericpitch
