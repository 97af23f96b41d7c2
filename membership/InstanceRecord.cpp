#include "membership/InstanceRecord.h"

#include <algorithm>

namespace turmericpitch {

InstanceRecord merged(const InstanceRecord &Known,
                      const InstanceRecord &Received) {
  if (Received.IncarnationNumber != Known.IncarnationNumber)
    return Received.IncarnationNumber > Known.IncarnationNumber ? Received
                                                                : Known;
  InstanceRecord Result = Known;
  Result.Leaving = Known.Leaving || Received.Leaving;
  Result.Health = std::max(Known.Health, Received.Health);
  return Result;
}

} // namespace turmericpitch
