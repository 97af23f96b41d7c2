#include "session/StatementReply.h"

#include <string_view>

namespace turmericpitch {

std::string_view toString(ReplyError Error) {
  switch (Error) {
  case ReplyError::Busy:
    return "busy";
  case ReplyError::Aborted:
    return "aborted";
  case ReplyError::Lagging:
    return "lagging";
  case ReplyError::ReadOnly:
    return "read_only";
  case ReplyError::WrongMember:
    return "wrong_member";
  case ReplyError::TooManyConnections:
    return "too_many_connections";
  case ReplyError::StatementUnknown:
    return "statement_unknown";
  case ReplyError::Failed:
    return "failed";
  case ReplyError::TimedOut:
    return "timed_out";
  case ReplyError::InDoubt:
    return "in_doubt";
  case ReplyError::DatabaseUnknown:
    return "database_unknown";
  case ReplyError::Unauthenticated:
    return "unauthenticated";
  case ReplyError::Malformed:
    return "malformed";
  case ReplyError::TooLarge:
    return "too_large";
  case ReplyError::Other:
    break;
  }
  return "other";
}

bool provesNotCommitted(ReplyError Error) {
  switch (Error) {
  case ReplyError::Busy:
  case ReplyError::Aborted:
  case ReplyError::Lagging:
  case ReplyError::ReadOnly:
  case ReplyError::WrongMember:
  case ReplyError::TooManyConnections:
    return true;
  default:
    return false;
  }
}

bool provesMemberDidNotRun(ReplyError Error) {
  return Error == ReplyError::StatementUnknown ||
         (provesNotCommitted(Error) && Error != ReplyError::Aborted);
}

} // namespace turmericpitch
