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

boost::json::object toJsonObject(const TermPosition &Entry);
TermPosition readTermPosition(const boost::json::object *Object);
boost::json::array toJsonArray(const TermHistory &History);
TermHistory readTermHistory(const boost::json::array *Array);

} // namespace turmericpitch
