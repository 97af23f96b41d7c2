#include "limits/LimitAge.h"

#include <algorithm>

namespace turmericpitch {

Duration creditAge(const OperationLimit &Limit, double MinBurst) {
  // As long as a limit message can express.
  constexpr Duration MaxAge = std::chrono::hours(24);
  std::chrono::duration<double> Age(std::max(Limit.Burst, MinBurst) /
                                    Limit.PerSecond);
  if (Age >= MaxAge)
    return MaxAge;
  return std::chrono::duration_cast<Duration>(Age);
}

} // namespace turmericpitch
