#include "drivers/CallerRequests.h"

#include "drivers/Json.h"

namespace turmericpitch {

namespace {

constexpr std::string_view Bearer = "Bearer ";
constexpr Duration DefaultTimeout = std::chrono::seconds(5);

/// Path segments: v1, services, S, databases, D, then those of the operation.
constexpr std::size_t CommonParts = 5;
constexpr std::size_t CollectionParts = CommonParts + 1;
constexpr std::size_t TransactionParts = CommonParts + 3;

std::vector<std::string> pathParts(std::string_view Path) {
  std::vector<std::string> Parts;
  std::size_t Begin = 1;
  while (Begin <= Path.size()) {
    std::size_t End = std::min(Path.find('/', Begin), Path.size());
    Parts.emplace_back(Path.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Parts;
}

std::optional<CallerOperation>
findOperation(const std::vector<std::string> &Parts) {
  if (Parts.size() == CollectionParts && Parts[5] == "statements")
    return CallerOperation::Statement;
  if (Parts.size() == CollectionParts && Parts[5] == "transactions")
    return CallerOperation::Begin;
  bool ForTransaction =
      Parts.size() == TransactionParts && Parts[5] == "transactions";
  if (ForTransaction && Parts[7] == "commit")
    return CallerOperation::Commit;
  if (ForTransaction && Parts[7] == "rollback")
    return CallerOperation::Rollback;
  return std::nullopt;
}

std::string hostWithoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

std::string credentialOf(const HttpRequest &Request) {
  if (!Request.Authorization.starts_with(Bearer))
    return {};
  return Request.Authorization.substr(Bearer.size());
}

void readStatement(JsonReader &Reader, CallerRequest &Into) {
  StatementRequest &Read = Into.Request;
  Read.Statement = Reader.text("statement");
  Read.Write = Reader.flag("write", false);
  Read.Repeatable = Reader.flag("repeatable", false);
  Read.MaximumAge = Reader.milliseconds("max_age_ms");
  std::string Transaction = Reader.text("transaction", "");
  if (!Transaction.empty())
    Into.Transaction = TransactionId{Transaction};
}

Result<void> checkTransaction(const CallerRequest &Read) {
  bool Statement = Read.Operation == CallerOperation::Statement;
  if (!Statement || !Read.Transaction)
    return {};
  if (!Read.Request.Key && !Read.Request.MaximumAge)
    return {};
  return boost::leaf::new_error(
      Error{.Kind = ErrorKind::BadRequest,
            .Message = "a statement in a transaction takes neither "
                       "idempotency_key nor max_age_ms",
            .Remedy = "send the idempotency key with the commit"});
}

} // namespace

std::optional<CallerTarget> parseCallerTarget(std::string_view Path) {
  std::vector<std::string> Parts = pathParts(Path);
  bool Common = Parts.size() > CommonParts && Parts[0] == "v1" &&
                Parts[1] == "services" && Parts[3] == "databases";
  if (!Common)
    return std::nullopt;
  std::optional<CallerOperation> Operation = findOperation(Parts);
  if (!Operation)
    return std::nullopt;
  CallerTarget Target;
  Target.Operation = *Operation;
  Target.Service = ServiceId{Parts[2]};
  Target.Database = DatabaseId{Parts[4]};
  if (Parts.size() == TransactionParts)
    Target.Transaction = TransactionId{Parts[6]};
  return Target;
}

Result<CallerRequest> readCallerRequest(const HttpRequest &Request,
                                        const CallerTarget &Target,
                                        RequestId Id) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Request.Body));
  JsonReader Reader(Json);
  CallerRequest Read;
  Read.Operation = Target.Operation;
  Read.Request.Id = std::move(Id);
  Read.Request.Host = hostWithoutPort(Request.Host);
  Read.Request.Credential = credentialOf(Request);
  Read.Request.Service = Target.Service;
  Read.Request.Target = Target.Database;
  Read.Request.TokenText = Reader.text("session_token", "");
  Read.Request.Timeout =
      Reader.milliseconds("deadline_ms").value_or(DefaultTimeout);
  bool TakesKey = Target.Operation == CallerOperation::Statement ||
                  Target.Operation == CallerOperation::Commit;
  std::string Key = TakesKey ? Reader.text("idempotency_key", "") : "";
  if (!Key.empty())
    Read.Request.Key = IdempotencyKey{Key};
  if (Target.Operation == CallerOperation::Statement)
    readStatement(Reader, Read);
  if (!Target.Transaction.Value.empty())
    Read.Transaction = Target.Transaction;
  BOOST_LEAF_CHECK(Reader.finish());
  BOOST_LEAF_CHECK(checkTransaction(Read));
  return Read;
}

std::string encodeStatementAnswer(const StatementAnswer &Answer,
                                  const std::string &Token) {
  boost::json::object Json;
  Json["request_id"] = Answer.Id.Value;
  boost::json::array Rows;
  for (const std::string &Row : Answer.Rows)
    Rows.emplace_back(Row);
  Json["rows"] = std::move(Rows);
  Json["session_token"] = Token;
  Json["served_by"] = toString(Answer.ServedBy);
  Json["repeated"] = Answer.Repeated;
  return boost::json::serialize(Json);
}

std::string encodeBegunTransaction(const BegunTransaction &Begun,
                                   const RequestId &Id,
                                   const std::string &Token) {
  boost::json::object Json;
  Json["request_id"] = Id.Value;
  Json["transaction"] = Begun.Id.Value;
  Json["session_token"] = Token;
  return boost::json::serialize(Json);
}

} // namespace turmericpitch
