// When a write survives the loss of its primary.
#pragma once

#include "core/Member.h"

namespace turmericpitch {

/// What replicas must confirm before a write is acknowledged.
struct WriteConfirmation {
  TermPosition Entry;
  /// The term that the write's answer was given in.
  Term WrittenUnder;

  auto operator<=>(const WriteConfirmation &) const = default;
};

/// What to confirm for a write's answer. An entry of an earlier term (a
/// repeat of a write with the same idempotency key) is safe only below a
/// confirmed entry of the present term, so then that one is named.
/// Precondition: Answer.Written has a value. Pure; thread-safe.
WriteConfirmation confirmationFor(const MemberAnswer &Answer);

/// Whether a replica that answers so counts towards the majority: it still
/// accepts the writing term, so no newer term was sealed at it, and its log
/// holds the entry. Pure; thread-safe.
bool confirms(const MemberStatus &Replica, const WriteConfirmation &Wanted);

} // namespace turmericpitch
