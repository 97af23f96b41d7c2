#include "limits/LinkEviction.h"

#include <algorithm>
#include <numeric>

namespace turmericpitch {

std::vector<std::size_t>
rankIdleConnections(std::span<const double> AccountWeights) {
  std::vector<std::size_t> Order(AccountWeights.size());
  std::iota(Order.rbegin(), Order.rend(), std::size_t{0});
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t Left, std::size_t Right) {
                     return AccountWeights[Left] > AccountWeights[Right];
                   });
  return Order;
}

} // namespace turmericpitch
