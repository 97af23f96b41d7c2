// When a written entry is safe from being cut off by a promotion.
#pragma once

#include "routing/UpstreamView.h"

namespace turmericpitch {

/// Ask replicas whether they hold a written entry and accept the term it was
/// written under.
struct ConfirmWrite {
  /// Position 0 asks for the accepted term alone.
  TermPosition Written;
  Term WriteTerm;
  /// Replicas to ask.
  std::vector<DatabaseMember> Replicas;
  /// How many must hold it.
  std::size_t RequiredCount = 0;
  Duration Timeout{0};
};

/// What makes a primary's answer safe: enough of the other members hold its
/// newest written entry in its term. Without a written entry: enough of them
/// still accept its term. Thread-safe.
ConfirmWrite requiredConfirmation(const MemberAnswer &Answer,
                                  const UpstreamId &From,
                                  const DatabaseView &View, Duration Timeout);

/// Whether a replica's status confirms the write. Thread-safe.
bool confirms(const ConfirmWrite &Wanted, const MemberStatus &Status);

} // namespace turmericpitch
