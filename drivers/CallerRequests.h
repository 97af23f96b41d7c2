// The JSON form of callers' requests and of the answers to them.
#pragma once

#include "drivers/Http.h"
#include "routing/BeginFlow.h"

namespace turmericpitch {

enum class CallerOperation { Statement, Begin, Commit, Rollback };

/// What a request's path asks for.
struct CallerTarget {
  CallerOperation Operation = CallerOperation::Statement;
  ServiceId Service;
  DatabaseId Database;
  /// For commit and rollback.
  TransactionId Transaction;

  bool operator==(const CallerTarget &) const = default;
};

/// One request as the caller sent it.
struct CallerRequest {
  CallerOperation Operation = CallerOperation::Statement;
  StatementRequest Request;
  /// The transaction it belongs to, if any.
  std::optional<TransactionId> Transaction;
};

/// All functions are thread-safe. The target of a path, or nothing if no
/// operation has it.
std::optional<CallerTarget> parseCallerTarget(std::string_view Path);
/// Errors: BadRequest naming each wrong field.
Result<CallerRequest> readCallerRequest(const HttpRequest &Request,
                                        const CallerTarget &Target,
                                        RequestId Id);
std::string encodeStatementAnswer(const StatementAnswer &Answer,
                                  const std::string &Token);
std::string encodeBegunTransaction(const BegunTransaction &Begun,
                                   const RequestId &Id,
                                   const std::string &Token);

} // namespace turmericpitch
