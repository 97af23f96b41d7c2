#include "failover/FirstRecordWait.h"

namespace turmericpitch {

bool awaitsFirstRecord(const FirstRecordView &Seen, Duration Interval,
                       TimePoint Now) {
  return !Seen.AnyRecord && Seen.FoundNoneAt &&
         Now - *Seen.FoundNoneAt < Interval;
}

} // namespace turmericpitch
