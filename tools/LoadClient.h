// Client of the load run: sends statements and decodes the answers.
#pragma once

#include "drivers/HttpConnection.h"
#include "tools/EmbeddedFleet.h"

#include <map>

namespace turmericpitch {

/// A statement that a load session sends.
struct LoadStatement {
  std::size_t Instance = 0;
  std::size_t Database = 0;
  std::string Text;
  bool Write = false;
  std::string IdempotencyKey;
  std::string Token;
  std::optional<Duration> MaxAge;
  Duration Deadline = std::chrono::seconds(5);
};

/// The answer to a statement.
struct LoadAnswer {
  std::vector<std::string> Rows;
  std::string Token;
  bool ServedByReplica = false;
};

/// The connections of one session, at most one to each instance. Supports one
/// request at a time.
class LoadClient {
public:
  LoadClient(Executor Exec, const EmbeddedFleet &Fleet)
      : Exec(std::move(Exec)), Fleet(Fleet) {}

  /// Sends a statement and waits for its answer. Errors: those of the instance;
  /// Unavailable if the instance can't be reached; OutcomeUnknown if no answer
  /// arrived.
  Awaitable<Outcome<LoadAnswer>> send(LoadStatement Statement);

private:
  Awaitable<Outcome<std::shared_ptr<HttpConnection>>>
  connectionTo(std::size_t Instance);

  Executor Exec;
  const EmbeddedFleet &Fleet;
  std::map<std::size_t, std::shared_ptr<HttpConnection>> Connections;
};

} // namespace turmericpitch
