// The JSON form of requests to database members and of their answers.
#pragma once

#include "core/Member.h"
#include "drivers/Json.h"

namespace turmericpitch {

/// Where a request goes and what it carries.
struct EncodedMemberRequest {
  std::string Target;
  std::string Body;
};

/// All functions are thread-safe. Decoding errors are BadRequest.
EncodedMemberRequest encodeMemberRequest(const MemberRequest &Request);
Result<MemberRequest> decodeMemberRequest(std::string_view Target,
                                          std::string_view Body);
std::string encodeMemberAnswer(const MemberAnswer &Answer);
Result<MemberAnswer> decodeMemberAnswer(std::string_view Body);
/// Errors of callers, members and operators share one form.
std::string encodeError(const Error &Failure);
/// An unreadable error reads as OutcomeUnknown, the only safe assumption.
Error decodeError(std::string_view Body);
/// A member's error carries the id of the request that it answers.
std::string encodeMemberError(const Error &Failure, const RequestId &Id);

/// The id that the answer must carry; empty for requests without one.
RequestId requestIdOf(const MemberRequest &Request);
/// The error for an answer that belongs to another request.
Error mismatchedAnswer();
/// The answer if it carries the expected id, else OutcomeUnknown: a late or
/// crossed answer says nothing of this request.
Outcome<MemberAnswer> checkAnswerId(const RequestId &Expected,
                                    Outcome<MemberAnswer> Answer);
/// A member's whole reply as the outcome of the request with the expected id.
/// An error that carries another id, or none where one is expected, reads as
/// OutcomeUnknown. Trusted is set to false if the connection that brought the
/// reply must not be used again.
Outcome<MemberAnswer> decodeMemberReply(const RequestId &Expected, bool Success,
                                        std::string_view Body, bool &Reusable);

boost::json::object toJsonObject(const TermPosition &Entry);
TermPosition readTermPosition(const boost::json::object *Object);
boost::json::array toJsonArray(const TermHistory &History);
TermHistory readTermHistory(const boost::json::array *Array);

} // namespace turmericpitch
