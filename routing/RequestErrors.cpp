#include "routing/RequestErrors.h"

namespace turmericpitch {

Error noMember() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "no member could serve the statement in time",
          .Remedy = "send it again, with a longer deadline if a failover runs",
          .RetryAfter = std::chrono::seconds(1)};
}

Error notConfirmed() {
  return {.Kind = ErrorKind::OutcomeUnknown,
          .Message = "the write ran but is not known to survive a failover",
          .Remedy = "look whether it is there, or repeat it with the same "
                    "idempotency key"};
}

} // namespace turmericpitch
