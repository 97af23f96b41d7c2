// Decodes callers' JSON requests and encodes the replies.
#pragma once

#include "drivers/Http.h"
#include "routing/BeginFlow.h"

namespace turmericpitch {

enum class CallerOperation { Statement, Begin, Commit, Rollback };

/// The operation and the objects that a request's path names.
struct CallerTarget {
  CallerOperation Operation = CallerOperation::Statement;
  ServiceId Service;
  DatabaseId Database;
  /// Set for commit and rollback only.
  TransactionId Transaction;

  bool operator==(const CallerTarget &) const = default;
};

/// One decoded request of a caller.
struct CallerRequest {
  CallerOperation Operation = CallerOperation::Statement;
  StatementRequest Request;
  /// The transaction that the request belongs to, if any.
  std::optional<TransactionId> Transaction;
};

// All functions are thread-safe.

/// Parses a path. Returns std::nullopt if it matches no operation.
std::optional<CallerTarget> parseCallerTarget(std::string_view Path);
/// Decodes a request's body and headers. Errors: BadRequest that lists each
/// invalid field.
Result<CallerRequest> readCallerRequest(const HttpRequest &Request,
                                        const CallerTarget &Target,
                                        RequestId Id);
std::string encodeStatementAnswer(const StatementAnswer &Answer,
                                  const std::string &Token);
std::string encodeBegunTransaction(const BegunTransaction &Begun,
                                   const RequestId &Id,
                                   const std::string &Token);

} // namespace turmericpitch
