// Determines when a written entry can no longer be discarded by a promotion.
#pragma once

#include "routing/UpstreamView.h"

namespace turmericpitch {

/// Action: ask replicas whether they hold a written entry and accept the term
/// it was written in.
struct ConfirmWrite {
  /// Position 0 asks only for the accepted term.
  TermPosition Written;
  Term WriteTerm;
  /// Replicas to ask.
  std::vector<DatabaseMember> Replicas;
  /// Number of replicas that must hold it.
  std::size_t RequiredCount = 0;
  Duration Timeout{0};
};

/// Returns the confirmation that a primary's answer needs: enough of the other
/// members must hold its newest written entry in its term. Without a written
/// entry, enough of them must still accept its term. Thread-safe.
ConfirmWrite requiredConfirmation(const MemberAnswer &Answer,
                                  const UpstreamId &From,
                                  const DatabaseView &View, Duration Timeout);

/// Whether a replica's status confirms the write. Thread-safe.
bool confirms(const ConfirmWrite &Wanted, const MemberStatus &Status);

} // namespace turmericpitch
