// The reply to one statement, from a member or of the proxy's own.
#pragma once

#include "core/LogPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericpitch {

/// Why a statement did not succeed.
enum class ReplyError : std::uint8_t {
  /// Not run: no capacity.
  Busy,
  /// Not kept: the transaction was rolled back.
  Aborted,
  /// Not run: the member's log does not reach the position asked for.
  Lagging,
  /// Not run: the member is not the primary.
  ReadOnly,
  /// Not run: another member answers at this address.
  WrongMember,
  /// Not run: the member holds as many connections as it may.
  TooManyConnections,
  /// Not run: the connection knows no prepared statement of this name.
  StatementUnknown,
  /// Ran and failed.
  Failed,
  /// Given up while it ran.
  TimedOut,
  /// May have taken effect.
  InDoubt,
  /// No route has the database's name.
  DatabaseUnknown,
  /// The request is malformed or not allowed in this state.
  Malformed,
  /// The request is larger than allowed.
  TooLarge,
  /// Any other.
  Other,
};

/// The error's stable name in logs and metrics. Thread-safe.
std::string_view toString(ReplyError Error);
/// Whether the error states that nothing of the attempt is kept.
/// Thread-safe.
bool provesNotCommitted(ReplyError Error);
/// Whether a member that answers with the error has not run the statement.
/// Thread-safe.
bool provesMemberDidNotRun(ReplyError Error);

/// A session's transaction as the end of a reply reports it.
enum class TransactionStatus : std::uint8_t { None, Open, Failed };

/// An error with its text.
struct ReplyFailure {
  ReplyError Code = ReplyError::Other;
  /// The code as the member spelled it; empty for the proxy's own.
  std::string UpstreamCode;
  std::string Text;

  bool operator==(const ReplyFailure &) const = default;
};

/// A whole reply. Immutable value.
struct StatementReply {
  std::vector<std::string> Rows;
  /// The member's proof that it ran the statement; empty for replies of the
  /// proxy's own.
  std::string Signature;
  /// Set if the statement did not succeed.
  std::optional<ReplyFailure> Failure;
  TransactionStatus Transaction = TransactionStatus::None;
  /// Where the log of the member stood.
  std::optional<TermPosition> Position;

  bool operator==(const StatementReply &) const = default;
};

} // namespace turmericpitch
