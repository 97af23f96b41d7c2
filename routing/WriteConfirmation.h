// When a written entry is safe from being cut off by a promotion.
#pragma once

#include "routing/UpstreamView.h"

namespace turmericpitch {

/// Ask replicas whether they hold a written entry and accept the term it was
/// written under.
struct ConfirmWrite {
  /// Position 0 asks for the accepted term alone.
  TermPosition Written;
  Term WrittenUnder;
  /// Replicas to ask.
  std::vector<DatabaseMember> Replicas;
  /// How many must hold it.
  std::size_t Needed = 0;
  Duration Limit{0};
};

/// What makes a primary's answer safe: enough of the other members hold its
/// newest written entry in its term. Without a written entry: enough of them
/// still accept its term. Thread-safe.
ConfirmWrite confirmationOf(const MemberAnswer &Answer, const UpstreamId &From,
                            const DatabaseView &View, Duration Limit);

/// Whether a replica's status confirms the write. Thread-safe.
bool confirms(const ConfirmWrite &Wanted, const MemberStatus &Status);

} // namespace turmericpitch
