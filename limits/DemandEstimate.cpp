#include "limits/DemandEstimate.h"

#include <algorithm>
#include <cmath>

namespace turmericpitch {

namespace {

/// Weight of one sample in the exponential moving average.
constexpr double SampleWeight = 0.2;
/// A mean load below this needs no connection of its own.
constexpr double NegligibleLoad = 0.05;

} // namespace

void DemandEstimate::onSample(std::size_t Load) {
  this->Mean += SampleWeight * (static_cast<double>(Load) - this->Mean);
}

std::uint32_t DemandEstimate::need() const {
  if (this->Mean < NegligibleLoad)
    return 0;
  double Need = std::ceil(this->Mean + std::sqrt(this->Mean));
  constexpr double MaxNeed = UINT32_MAX;
  return static_cast<std::uint32_t>(std::min(Need, MaxNeed));
}

} // namespace turmericpitch
