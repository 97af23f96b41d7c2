// A database member as decisions see it: typed requests and answers.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/LogPosition.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericpitch {

enum class MemberRole { Replica, Primary };

/// The role's stable name. Thread-safe.
std::string_view toString(MemberRole Role);

/// What a member says of itself.
struct MemberStatus {
  UpstreamId Id;
  MemberRole Role = MemberRole::Replica;
  /// The term the member accepts entries and writes of; grows only.
  Term Accepted;
  /// Last entry in the member's log.
  TermPosition Received;
  /// Last entry that reads at the member see.
  LogPosition Applied;
  TermHistory History;
  /// How long ago a replica last heard from the primary it follows; nothing
  /// at a primary, and at a replica that follows none or heard none yet.
  std::optional<Duration> PrimarySilence;

  bool operator==(const MemberStatus &) const = default;
};

/// Asks a member for its status.
struct StatusRequest {
  auto operator<=>(const StatusRequest &) const = default;
};

/// Asks a member to wait until its log holds Entry, at most Timeout.
struct WaitRequest {
  TermPosition Entry;
  Duration Timeout{0};
  /// Wait until reads see the entry, not only until the log holds it.
  bool UntilApplied = false;
};

/// Runs one statement, in a transaction of its own or in an open one.
struct ExecuteRequest {
  RequestId Id;
  std::string Statement;
  bool Write = false;
  /// The member refuses, before running, if it accepts another term.
  /// Only writes and transactions carry it.
  std::optional<Term> Expected;
  /// For a read: the member refuses unless it has applied this entry.
  TermPosition AtLeast;
  /// Recorded with the write; a repeat gets the first outcome.
  std::optional<IdempotencyKey> Key;
  /// The open transaction on this connection, if any.
  std::optional<TransactionId> Transaction;
};

struct BeginRequest {
  RequestId Id;
  TransactionId Transaction;
  Term Expected;
};
struct CommitRequest {
  RequestId Id;
  TransactionId Transaction;
  std::optional<IdempotencyKey> Key;
};
struct RollbackRequest {
  TransactionId Transaction;
};

/// Makes the member refuse every term below Next, and every other attempt
/// at the same term. Idempotent for the same attempt.
struct FenceRequest {
  Term Next;
  /// Unique to one promotion attempt of one instance.
  std::string Attempt;
};
/// Makes the member primary in the term that the same attempt sealed it at.
struct PromoteRequest {
  Term Next;
  std::string Attempt;
  /// The entry at which the promoter chose it; another one is refused.
  TermPosition ExpectedEntry;
};
/// Makes the member replicate from a primary of the term.
struct FollowRequest {
  Term Next;
  UpstreamId Primary;
};

using MemberRequest = std::variant<StatusRequest, WaitRequest, ExecuteRequest,
                                   BeginRequest, CommitRequest, RollbackRequest,
                                   FenceRequest, PromoteRequest, FollowRequest>;

/// The answer to any request.
struct MemberAnswer {
  /// The id of the request answered; empty for requests without one.
  RequestId Id;
  MemberStatus Status;
  std::vector<std::string> Rows;
  /// The entry that a write or commit produced.
  std::optional<TermPosition> Written;
  /// The outcome is that of an earlier request with the same key.
  bool Repeated = false;
};

} // namespace turmericpitch
