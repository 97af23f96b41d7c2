// The reply to one statement, from a member or from the proxy itself.
#pragma once

#include "core/LogPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericpitch {

/// The reason why a statement did not succeed.
enum class ReplyError : std::uint8_t {
  /// Not run: no free capacity.
  Busy,
  /// Not committed: the transaction was rolled back.
  Aborted,
  /// Not run: the member's log does not contain the requested position.
  Lagging,
  /// Not run: the member is not the primary.
  ReadOnly,
  /// Not run: a different member answered at this address.
  WrongMember,
  /// Not run: the member has reached its connection limit.
  TooManyConnections,
  /// Not run: the connection has no prepared statement with this name.
  StatementUnknown,
  /// The statement ran and failed.
  Failed,
  /// The statement timed out while it ran.
  TimedOut,
  /// The outcome is unknown; the statement may have taken effect.
  InDoubt,
  /// No route exists for the database's name.
  DatabaseUnknown,
  /// The caller presented no valid credential.
  Unauthenticated,
  /// The request is malformed or not allowed in this state.
  Malformed,
  /// The request is larger than allowed.
  TooLarge,
  /// Any other error.
  Other,
};

/// The error's stable name in logs and metrics. Thread-safe.
std::string_view toString(ReplyError Error);
/// Whether the error guarantees that no effect of the attempt is committed.
/// Thread-safe.
bool provesNotCommitted(ReplyError Error);
/// Whether the error, when sent by a member, guarantees that the member did not
/// run the statement.
/// Thread-safe.
bool provesMemberDidNotRun(ReplyError Error);

/// The state of a session's transaction, as reported at the end of a reply.
enum class TransactionStatus : std::uint8_t { None, Open, Failed };

/// An error code with its text.
struct ReplyFailure {
  ReplyError Code = ReplyError::Other;
  /// The code as received from the member; empty for errors of the proxy.
  std::string UpstreamCode;
  std::string Text;

  bool operator==(const ReplyFailure &) const = default;
};

/// A complete reply. Immutable value.
struct StatementReply {
  std::vector<std::string> Rows;
  /// The member's proof that it ran the statement; empty for replies of the
  /// proxy.
  std::string Signature;
  /// Set if the statement did not succeed.
  std::optional<ReplyFailure> Failure;
  TransactionStatus Transaction = TransactionStatus::None;
  /// The last position of the member's log at the time of the reply.
  std::optional<TermPosition> Position;

  bool operator==(const StatementReply &) const = default;
};

} // namespace turmericpitch
