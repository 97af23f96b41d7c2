// Typed requests and answers of a database member.
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

/// The state that a member reports of itself.
struct MemberStatus {
  UpstreamId Id;
  MemberRole Role = MemberRole::Replica;
  /// The term of which the member accepts entries and writes; never decreases.
  Term AcceptedTerm;
  /// The last entry in the member's log.
  TermPosition LastEntry;
  /// Position of the last entry that is visible to reads at the member.
  LogPosition AppliedPosition;
  TermHistory History;
  /// Time since a replica last received a message from the primary it follows.
  /// Not set at a primary, and at a replica that follows no primary or has not
  /// received a message yet.
  std::optional<Duration> PrimarySilence;

  bool operator==(const MemberStatus &) const = default;
};

/// Asks a member for its status.
struct StatusRequest {
  auto operator<=>(const StatusRequest &) const = default;
};

/// Asks a member to wait until its log contains Entry, for at most Timeout.
struct WaitRequest {
  TermPosition Entry;
  Duration Timeout{0};
  /// Wait until the entry is visible to reads, not only until the log contains
  /// it.
  bool UntilApplied = false;
};

/// Executes one statement, in its own transaction or in an open one.
struct ExecuteRequest {
  RequestId Id;
  std::string Statement;
  bool Write = false;
  /// If set, the member rejects the statement without running it unless this
  /// is its accepted term. Set for writes and transactions only.
  std::optional<Term> ExpectedTerm;
  /// For a read: the member rejects it unless it has applied this entry.
  TermPosition MinPosition;
  /// Stored with the write; a repeat with the same key returns the outcome of
  /// the first.
  std::optional<IdempotencyKey> Key;
  /// The open transaction on this connection, if any.
  std::optional<TransactionId> Transaction;
};

struct BeginRequest {
  RequestId Id;
  TransactionId Transaction;
  Term ExpectedTerm;
};
struct CommitRequest {
  RequestId Id;
  TransactionId Transaction;
  std::optional<IdempotencyKey> Key;
};
struct RollbackRequest {
  TransactionId Transaction;
};

/// Fences the member: it rejects every term below NextTerm from now on, and
/// every other attempt at NextTerm. Idempotent for the same attempt.
struct FenceRequest {
  Term NextTerm;
  /// Unique to one promotion attempt of one instance.
  std::string Attempt;
};
/// Promotes the member to primary of term NextTerm, at which the same attempt
/// has fenced it.
struct PromoteRequest {
  Term NextTerm;
  std::string Attempt;
  /// The member's last entry when it was selected; the member rejects the
  /// promotion if its last entry is a different one.
  TermPosition ExpectedEntry;
};
/// Makes the member replicate from the primary of term NextTerm.
struct FollowRequest {
  Term NextTerm;
  UpstreamId Primary;
};

using MemberRequest = std::variant<StatusRequest, WaitRequest, ExecuteRequest,
                                   BeginRequest, CommitRequest, RollbackRequest,
                                   FenceRequest, PromoteRequest, FollowRequest>;

/// The answer to any request.
struct MemberAnswer {
  /// The id of the request; empty for requests that have none.
  RequestId Id;
  MemberStatus Status;
  std::vector<std::string> Rows;
  /// The log entry that a write or commit created.
  std::optional<TermPosition> Written;
  /// Whether this is the outcome of an earlier request with the same key.
  bool Repeated = false;
};

} // namespace turmericpitch
