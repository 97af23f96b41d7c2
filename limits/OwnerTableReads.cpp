#include "limits/OwnerTableReads.h"

namespace turmericpitch {

bool isOwnerTableReadDue(const OwnerTableReadOptions &Options,
                         const OwnerTableKnowledge &Known, TimePoint Now) {
  if (!Known.ReadAt || !Known.ConfirmedAt || Known.NewerKnown)
    return true;
  Duration SinceOwnRead = Now - *Known.ReadAt;
  if (!Known.Exists)
    return SinceOwnRead >= (Known.IsKeeper
                                ? Options.MissingTableInterval
                                : Options.MissingTableFallbackInterval);
  if (Known.IsKeeper)
    return SinceOwnRead >= Options.KeeperInterval;
  return Now - *Known.ConfirmedAt >= Options.MaxAge;
}

} // namespace turmericpitch
