#include "drivers/Http.h"

#include "drivers/MemberCodec.h"

namespace turmericpitch {

unsigned httpStatusOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadRequest:
    return 400;
  case ErrorKind::Forbidden:
    return 403;
  case ErrorKind::Superseded:
  case ErrorKind::StaleToken:
    return 409;
  case ErrorKind::Overloaded:
    return 429;
  case ErrorKind::OutcomeUnknown:
    return 504;
  case ErrorKind::NotRun:
  case ErrorKind::Unavailable:
    break;
  }
  return 503;
}

HttpReply replyWith(const Error &Failure) {
  HttpReply Reply;
  Reply.Status = httpStatusOf(Failure.Kind);
  Reply.Body = encodeError(Failure);
  Reply.RetryAfter = Failure.RetryAfter;
  return Reply;
}

} // namespace turmericpitch
