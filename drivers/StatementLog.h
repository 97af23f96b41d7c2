// Decision lines of statements that end without success.
#pragma once

#include "drivers/StatementCall.h"

#include <string>
#include <string_view>

namespace turmericpitch {

/// What a statement waits for.
enum class StatementWait : std::uint8_t {
  /// Room at a member.
  Queue,
  /// A link to its member, or the setup of one.
  Link,
  /// The reply of a member.
  Member,
  /// The renewal of the primary's lease, which holds the acknowledgement back.
  Lease,
};

/// The wait's stable name in the decision log. Thread-safe.
std::string_view toString(StatementWait Wait);

/// What the statement waits for at present. Precondition: it has been submitted
/// and not ended.
StatementWait currentWait(const StatementCall &Call);

/// Writes the line of a statement that was answered with a failure.
void logFailedReply(const StatementCall &Call, const ReplyFailure &Failure,
                    TimePoint Now);

/// Writes the line of a statement whose client left before its reply.
void logAbandoned(const StatementCall &Call, TimePoint Now);

} // namespace turmericpitch
