#include "drivers/MemberCodec.h"

namespace turmericpitch {

namespace {

using boost::json::object;

template <typename Tag>
void putOptional(object &Json, std::string_view Key,
                 const std::optional<Name<Tag>> &Text) {
  if (Text)
    Json[Key] = Text->Value;
}

std::string serializeObject(const object &Json) {
  return boost::json::serialize(Json);
}

/// Reads an optional name. An absent or empty field yields std::nullopt.
template <typename Id>
std::optional<Id> optionalName(JsonReader &Reader, std::string_view Key) {
  std::string Text = Reader.text(Key, "");
  if (Text.empty())
    return std::nullopt;
  return Id{Text};
}

EncodedMemberRequest encode(const StatusRequest &) {
  return {.Target = "/status", .Body = "{}"};
}

EncodedMemberRequest encode(const WaitRequest &Request) {
  object Json;
  Json["entry"] = toJsonObject(Request.Entry);
  Json["limit_us"] = Request.Timeout.count();
  Json["until_applied"] = Request.UntilApplied;
  return {.Target = "/wait", .Body = serializeObject(Json)};
}

EncodedMemberRequest encode(const ExecuteRequest &Request) {
  object Json;
  Json["request_id"] = Request.Id.Value;
  Json["statement"] = Request.Statement;
  Json["write"] = Request.Write;
  if (Request.ExpectedTerm)
    Json["expected_term"] = Request.ExpectedTerm->Value;
  Json["at_least"] = toJsonObject(Request.MinPosition);
  putOptional(Json, "idempotency_key", Request.Key);
  putOptional(Json, "transaction", Request.Transaction);
  return {.Target = "/execute", .Body = serializeObject(Json)};
}

EncodedMemberRequest encode(const BeginRequest &Request) {
  object Json;
  Json["request_id"] = Request.Id.Value;
  Json["transaction"] = Request.Transaction.Value;
  Json["expected_term"] = Request.ExpectedTerm.Value;
  return {.Target = "/begin", .Body = serializeObject(Json)};
}

EncodedMemberRequest encode(const CommitRequest &Request) {
  object Json;
  Json["request_id"] = Request.Id.Value;
  Json["transaction"] = Request.Transaction.Value;
  putOptional(Json, "idempotency_key", Request.Key);
  return {.Target = "/commit", .Body = serializeObject(Json)};
}

EncodedMemberRequest encode(const RollbackRequest &Request) {
  object Json;
  Json["transaction"] = Request.Transaction.Value;
  return {.Target = "/rollback", .Body = serializeObject(Json)};
}

EncodedMemberRequest encode(const FenceRequest &Request) {
  object Json;
  Json["next_term"] = Request.NextTerm.Value;
  Json["attempt"] = Request.Attempt;
  return {.Target = "/seal", .Body = serializeObject(Json)};
}

EncodedMemberRequest encode(const PromoteRequest &Request) {
  object Json;
  Json["next_term"] = Request.NextTerm.Value;
  Json["attempt"] = Request.Attempt;
  Json["chosen_at"] = toJsonObject(Request.ExpectedEntry);
  return {.Target = "/promote", .Body = serializeObject(Json)};
}

EncodedMemberRequest encode(const FollowRequest &Request) {
  object Json;
  Json["next_term"] = Request.NextTerm.Value;
  Json["primary"] = Request.Primary.Value;
  return {.Target = "/follow", .Body = serializeObject(Json)};
}

MemberRequest readExecute(JsonReader &Reader) {
  ExecuteRequest Request;
  Request.Id = RequestId{Reader.text("request_id")};
  Request.Statement = Reader.text("statement");
  Request.Write = Reader.flag("write", false);
  if (Reader.has("expected_term"))
    Request.ExpectedTerm = Term{Reader.number("expected_term")};
  Request.MinPosition = readTermPosition(Reader.object("at_least"));
  Request.Key = optionalName<IdempotencyKey>(Reader, "idempotency_key");
  Request.Transaction = optionalName<TransactionId>(Reader, "transaction");
  return Request;
}

MemberRequest readWait(JsonReader &Reader) {
  WaitRequest Request;
  Request.Entry = readTermPosition(Reader.object("entry"));
  Request.Timeout =
      Duration(static_cast<Duration::rep>(Reader.number("limit_us")));
  Request.UntilApplied = Reader.flag("until_applied", false);
  return Request;
}

MemberRequest readBegin(JsonReader &Reader) {
  BeginRequest Request;
  Request.Id = RequestId{Reader.text("request_id")};
  Request.Transaction = TransactionId{Reader.text("transaction")};
  Request.ExpectedTerm = Term{Reader.number("expected_term")};
  return Request;
}

MemberRequest readCommit(JsonReader &Reader) {
  CommitRequest Request;
  Request.Id = RequestId{Reader.text("request_id")};
  Request.Transaction = TransactionId{Reader.text("transaction")};
  Request.Key = optionalName<IdempotencyKey>(Reader, "idempotency_key");
  return Request;
}

MemberRequest readFence(JsonReader &Reader) {
  FenceRequest Request;
  Request.NextTerm = Term{Reader.number("next_term")};
  Request.Attempt = Reader.text("attempt");
  return Request;
}

MemberRequest readPromote(JsonReader &Reader) {
  PromoteRequest Request;
  Request.NextTerm = Term{Reader.number("next_term")};
  Request.Attempt = Reader.text("attempt");
  Request.ExpectedEntry = readTermPosition(Reader.object("chosen_at"));
  return Request;
}

MemberRequest readFollow(JsonReader &Reader) {
  FollowRequest Request;
  Request.NextTerm = Term{Reader.number("next_term")};
  Request.Primary = UpstreamId{Reader.text("primary")};
  return Request;
}

/// Wraps a decoded error, to distinguish it from an error of decoding.
struct DecodedError {
  Error Value;
};

object statusToJson(const MemberStatus &Status) {
  object Json;
  Json["upstream"] = Status.Id.Value;
  Json["role"] = toString(Status.Role);
  Json["term"] = Status.AcceptedTerm.Value;
  Json["received"] = toJsonObject(Status.LastEntry);
  Json["applied"] = Status.AppliedPosition.Value;
  Json["history"] = toJsonArray(Status.History);
  if (Status.PrimarySilence)
    Json["primary_silence_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            *Status.PrimarySilence)
            .count();
  return Json;
}

Result<MemberStatus> readStatus(const object &Json) {
  JsonReader Reader(Json);
  Reader.allowUnknown();
  MemberStatus Status;
  Status.Id = UpstreamId{Reader.text("upstream")};
  Status.Role = Reader.text("role") == toString(MemberRole::Primary)
                    ? MemberRole::Primary
                    : MemberRole::Replica;
  Status.AcceptedTerm = Term{Reader.number("term")};
  Status.LastEntry = readTermPosition(Reader.object("received"));
  Status.AppliedPosition = LogPosition{Reader.number("applied")};
  Status.History = readTermHistory(Reader.array("history"));
  Status.PrimarySilence = Reader.milliseconds("primary_silence_ms");
  BOOST_LEAF_CHECK(Reader.finish());
  return Status;
}

} // namespace

object toJsonObject(const TermPosition &Entry) {
  object Json;
  Json["term"] = Entry.WrittenIn.Value;
  Json["position"] = Entry.Position.Value;
  return Json;
}

TermPosition readTermPosition(const object *Object) {
  if (!Object)
    return {};
  JsonReader Reader(*Object);
  return {.WrittenIn = Term{Reader.number("term", 0)},
          .Position = LogPosition{Reader.number("position", 0)}};
}

boost::json::array toJsonArray(const TermHistory &History) {
  boost::json::array Array;
  for (const TermStart &Start : History.starts()) {
    object Json;
    Json["term"] = Start.NewTerm.Value;
    Json["after"] = Start.PrecedingPosition.Value;
    Array.push_back(std::move(Json));
  }
  return Array;
}

TermHistory readTermHistory(const boost::json::array *Array) {
  std::vector<TermStart> Starts;
  if (!Array)
    return {};
  for (const boost::json::value &Item : *Array) {
    if (!Item.is_object())
      continue;
    JsonReader Reader(Item.as_object());
    TermStart Start{.NewTerm = Term{Reader.number("term", 0)},
                    .PrecedingPosition =
                        LogPosition{Reader.number("after", 0)}};
    bool Ascending = Starts.empty() || (Starts.back().NewTerm < Start.NewTerm &&
                                        Starts.back().PrecedingPosition <=
                                            Start.PrecedingPosition);
    if (Ascending)
      Starts.push_back(Start);
  }
  return TermHistory(std::move(Starts));
}

EncodedMemberRequest encodeMemberRequest(const MemberRequest &Request) {
  return std::visit([](const auto &Each) { return encode(Each); }, Request);
}

Result<MemberRequest> decodeMemberRequest(std::string_view Target,
                                          std::string_view Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Reader(Json);
  std::optional<MemberRequest> Request;
  if (Target == "/status")
    Request = StatusRequest{};
  else if (Target == "/wait")
    Request = readWait(Reader);
  else if (Target == "/execute")
    Request = readExecute(Reader);
  else if (Target == "/begin")
    Request = readBegin(Reader);
  else if (Target == "/commit")
    Request = readCommit(Reader);
  else if (Target == "/rollback")
    Request = RollbackRequest{TransactionId{Reader.text("transaction")}};
  else if (Target == "/seal")
    Request = readFence(Reader);
  else if (Target == "/promote")
    Request = readPromote(Reader);
  else if (Target == "/follow")
    Request = readFollow(Reader);
  if (!Request)
    return boost::leaf::new_error(
        Error{.Kind = ErrorKind::BadRequest,
              .Message = "unknown member request " + std::string(Target),
              .Remedy = "use one of the documented member requests"});
  BOOST_LEAF_CHECK(Reader.finish());
  return std::move(*Request);
}

std::string encodeMemberAnswer(const MemberAnswer &Answer) {
  object Json;
  Json["request_id"] = Answer.Id.Value;
  Json["status"] = statusToJson(Answer.Status);
  boost::json::array Rows;
  for (const std::string &Row : Answer.Rows)
    Rows.emplace_back(Row);
  Json["rows"] = std::move(Rows);
  if (Answer.Written)
    Json["written"] = toJsonObject(*Answer.Written);
  Json["repeated"] = Answer.Repeated;
  return serializeObject(Json);
}

Result<MemberAnswer> decodeMemberAnswer(std::string_view Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Reader(Json);
  Reader.allowUnknown();
  MemberAnswer Answer;
  Answer.Id = RequestId{Reader.text("request_id", "")};
  Answer.Rows = Reader.texts("rows");
  if (const object *Written = Reader.object("written"))
    Answer.Written = readTermPosition(Written);
  Answer.Repeated = Reader.flag("repeated", false);
  const object *Status = Reader.object("status");
  BOOST_LEAF_CHECK(Reader.finish());
  if (Status) {
    BOOST_LEAF_ASSIGN(Answer.Status, readStatus(*Status));
  }
  return Answer;
}

namespace {

object errorToJson(const Error &Failure) {
  object Json;
  Json["error"] = toString(Failure.Kind);
  Json["message"] = Failure.Message;
  Json["remedy"] = Failure.Remedy;
  if (Failure.RetryAfter)
    Json["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*Failure.RetryAfter)
            .count();
  return Json;
}

} // namespace

std::string encodeError(const Error &Failure) {
  return serializeObject(errorToJson(Failure));
}

std::string encodeMemberError(const Error &Failure, const RequestId &Id) {
  object Json = errorToJson(Failure);
  Json["request_id"] = Id.Value;
  return serializeObject(Json);
}

RequestId requestIdOf(const MemberRequest &Request) {
  return std::visit(
      [](const auto &Each) {
        if constexpr (requires { Each.Id; })
          return Each.Id;
        else
          return RequestId{};
      },
      Request);
}

Error mismatchedAnswer() {
  return {.Kind = ErrorKind::OutcomeUnknown,
          .Message = "the member's answer is malformed or belongs to another "
                     "request",
          .Remedy = "check whether the request ran before sending it again"};
}

Outcome<MemberAnswer> checkAnswerId(const RequestId &Expected,
                                    Outcome<MemberAnswer> Answer) {
  if (Answer && Answer.value().Id != Expected)
    return mismatchedAnswer();
  return Answer;
}

Outcome<MemberAnswer> decodeMemberReply(const RequestId &Expected, bool Success,
                                        std::string_view Body, bool &Reusable) {
  if (Success) {
    auto Answer = checkAnswerId(
        Expected, toOutcome([&] { return decodeMemberAnswer(Body); }));
    // A malformed answer does not prove that the request did not run.
    Reusable = Answer.hasValue();
    return Reusable ? Answer : mismatchedAnswer();
  }
  auto Id = toOutcome([&]() -> Result<RequestId> {
    BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
    JsonReader Reader(Json);
    Reader.allowUnknown();
    RequestId Carried{Reader.text("request_id", "")};
    BOOST_LEAF_CHECK(Reader.finish());
    return Carried;
  });
  Reusable = Id && Id.value() == Expected;
  if (!Reusable)
    return mismatchedAnswer();
  return decodeError(Body);
}

Error decodeError(std::string_view Body) {
  auto Decoded = toOutcome([&]() -> Result<DecodedError> {
    BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
    JsonReader Reader(Json);
    Reader.allowUnknown();
    auto Kind = errorKindFromString(Reader.text("error"));
    Error Failure{.Kind = Kind.value_or(ErrorKind::OutcomeUnknown),
                  .Message = Reader.text("message", ""),
                  .Remedy = Reader.text("remedy", ""),
                  .RetryAfter = Reader.milliseconds("retry_after_ms")};
    BOOST_LEAF_CHECK(Reader.finish());
    return DecodedError{Failure};
  });
  if (Decoded)
    return Decoded.value().Value;
  return {.Kind = ErrorKind::OutcomeUnknown,
          .Message = "malformed error reply",
          .Remedy = "check whether the request ran before sending it again"};
}

} // namespace turmericpitch
