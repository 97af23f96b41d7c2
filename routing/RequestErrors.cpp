#include "routing/RequestErrors.h"

namespace turmericpitch {

Error noMemberError() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "no member could serve the statement in time",
          .Remedy = "send it again, with a longer deadline during a failover",
          .RetryAfter = std::chrono::seconds(1)};
}

Error notConfirmedError() {
  return {.Kind = ErrorKind::OutcomeUnknown,
          .Message = "the write ran but is not known to survive a failover",
          .Remedy = "check whether it is present, or repeat it with the same "
                    "idempotency key"};
}

} // namespace turmericpitch
