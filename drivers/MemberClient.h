// One connection to a database member.
#pragma once

#include "core/Member.h"
#include "drivers/HttpConnection.h"

namespace turmericpitch {

/// A connection to a member; serves one request at a time. Thread-safe.
class MemberConnection {
public:
  /// Connects. Errors: Unavailable.
  static Awaitable<Outcome<std::shared_ptr<MemberConnection>>>
  open(Executor Exec, Endpoint Member, Duration Timeout);

  explicit MemberConnection(std::shared_ptr<HttpConnection> Http,
                            Endpoint Member)
      : Http(std::move(Http)), Member(std::move(Member)) {}

  /// Errors: the member's own error; NotRun if nothing was sent;
  /// OutcomeUnknown if no reply, or the reply to another request, arrived.
  /// After OutcomeUnknown the connection is not usable.
  Awaitable<Outcome<MemberAnswer>> call(MemberRequest Request,
                                        Duration Timeout);

  [[nodiscard]] bool usable() const { return this->Http->usable(); }
  void close() { this->Http->close(); }

private:
  std::shared_ptr<HttpConnection> Http;
  Endpoint Member;
};

} // namespace turmericpitch
