// JSON encoding of requests to database members and their answers.
#pragma once

#include "core/Member.h"
#include "drivers/Json.h"

namespace turmericpitch {

/// The path and the body of an encoded request.
struct EncodedMemberRequest {
  std::string Target;
  std::string Body;
};

// All functions are thread-safe. Decoding errors are BadRequest.

EncodedMemberRequest encodeMemberRequest(const MemberRequest &Request);
Result<MemberRequest> decodeMemberRequest(std::string_view Target,
                                          std::string_view Body);
std::string encodeMemberAnswer(const MemberAnswer &Answer);
Result<MemberAnswer> decodeMemberAnswer(std::string_view Body);
/// Encodes an error; callers, members and operators use the same encoding.
std::string encodeError(const Error &Failure);
/// Decodes an error. A malformed error is decoded as OutcomeUnknown, because
/// the request may have run.
Error decodeError(std::string_view Body);
/// Encodes a member's error with the id of the request that it answers.
std::string encodeMemberError(const Error &Failure, const RequestId &Id);

/// The request id that the answer must carry; empty for requests without an
/// id.
RequestId requestIdOf(const MemberRequest &Request);
/// The error for an answer that carries the id of another request.
Error mismatchedAnswer();
/// Returns the answer if it carries the expected id, else OutcomeUnknown: the
/// answer of another request does not tell whether this one ran.
Outcome<MemberAnswer> checkAnswerId(const RequestId &Expected,
                                    Outcome<MemberAnswer> Answer);
/// Decodes a member's reply as the outcome of the request with the expected id.
/// A malformed reply, or one that carries another id or none where one is
/// expected, is decoded as OutcomeUnknown. Reusable is set to false if the
/// reply's connection must not be used again.
Outcome<MemberAnswer> decodeMemberReply(const RequestId &Expected, bool Success,
                                        std::string_view Body, bool &Reusable);

boost::json::object toJsonObject(const TermPosition &Entry);
TermPosition readTermPosition(const boost::json::object *Object);
boost::json::array toJsonArray(const TermHistory &History);
TermHistory readTermHistory(const boost::json::array *Array);

} // namespace turmericpitch
