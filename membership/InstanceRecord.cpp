#include "membership/InstanceRecord.h"

#include <algorithm>

namespace turmericpitch {

InstanceRecord merged(const InstanceRecord &Known,
                      const InstanceRecord &Heard) {
  if (Heard.Life != Known.Life)
    return Heard.Life > Known.Life ? Heard : Known;
  InstanceRecord Result = Known;
  Result.Leaving = Known.Leaving || Heard.Leaving;
  Result.Health = std::max(Known.Health, Heard.Health);
  return Result;
}

} // namespace turmericpitch
