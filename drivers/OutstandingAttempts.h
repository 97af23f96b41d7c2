// The attempts of a hedged statement that members have not answered.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"

#include <memory>
#include <optional>
#include <vector>

namespace turmericpitch {

class MemberLink;
class MemberLinkPool;

/// A statement sent to a member on a link.
struct StatementAttempt {
  std::shared_ptr<MemberLink> Link;
  std::shared_ptr<MemberLinkPool> Pool;
  /// The epoch of the primary that runs it; 0 at a replica.
  std::uint64_t Epoch = 0;
  /// The log position that the member was asked for; empty at a primary.
  std::optional<TermPosition> MinPosition;
  TimePoint SentAt;
};

/// Attempts that still run while the statement is also tried at another member.
/// A hedge adds a member and never gives one up: each attempt stays here until
/// its member answers, its link ends or the deadline passes. Answers the load
/// pattern of a busy primary whose replicas lag: its late reply is the only one
/// that the client can get. Not thread-safe.
class OutstandingAttempts {
public:
  void add(StatementAttempt Attempt);
  /// Removes the attempt on this link.
  void remove(const std::shared_ptr<MemberLink> &Link);
  [[nodiscard]] bool empty() const { return this->Attempts.empty(); }
  /// Whether an attempt runs at the member.
  [[nodiscard]] bool at(const UpstreamId &Member) const;
  /// Closes the links of all attempts; their handlers run asynchronously.
  /// Members that have answered nothing since the attempt was sent are marked
  /// as unanswered.
  void close(TimePoint Now) const;

private:
  std::vector<StatementAttempt> Attempts;
};

} // namespace turmericpitch
