#include "membership/InstanceRecord.h"

#include <algorithm>

namespace turmericpitch {

InstanceRecord merged(const InstanceRecord &Known,
                      const InstanceRecord &Heard) {
  if (Heard.IncarnationNumber != Known.IncarnationNumber)
    return Heard.IncarnationNumber > Known.IncarnationNumber ? Heard : Known;
  InstanceRecord Result = Known;
  Result.Leaving = Known.Leaving || Heard.Leaving;
  Result.Health = std::max(Known.Health, Heard.Health);
  return Result;
}

} // namespace turmericpitch
