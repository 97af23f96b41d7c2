#include "limits/StoreBackoff.h"

#include <algorithm>

namespace turmericpitch {

Duration StoreBackoff::onFailed(RandomSource &Random) {
  this->Pause = this->Pause == Duration{0}
                    ? this->Options.InitialDelay
                    : std::min(this->Options.MaxDelay, 2 * this->Pause);
  double Spread = 1 + this->Options.Jitter * (2 * Random.fraction() - 1);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(this->Pause.count()) * Spread));
}

} // namespace turmericpitch
