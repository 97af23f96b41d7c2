#include "routing/FailedReadPolicy.h"

namespace turmericpitch {

bool shouldRunElsewhere(const FailedAttempt &Seen, RetryBudget &Budget) {
  return Seen.Error == ReplyError::Failed && Seen.Repeatable &&
         Seen.AttemptsLeft && Budget.spend();
}

} // namespace turmericpitch
