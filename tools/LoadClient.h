// A caller of the load run: sends statements and reads the answers.
#pragma once

#include "drivers/HttpConnection.h"
#include "tools/EmbeddedFleet.h"

#include <map>

namespace turmericpitch {

/// A statement as a load session sends it.
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

/// What came back.
struct LoadAnswer {
  std::vector<std::string> Rows;
  std::string Token;
  bool ServedByReplica = false;
};

/// One session's connections, at most one to each instance. One request at a
/// time.
class LoadClient {
public:
  LoadClient(Executor Exec, const EmbeddedFleet &Fleet)
      : Exec(std::move(Exec)), Fleet(Fleet) {}

  /// Errors: the instance's; Unavailable if it can't be reached; OutcomeUnknown
  /// if the answer did not come.
  Awaitable<Outcome<LoadAnswer>> send(LoadStatement Statement);

private:
  Awaitable<Outcome<std::shared_ptr<HttpConnection>>>
  connectionTo(std::size_t Instance);

  Executor Exec;
  const EmbeddedFleet &Fleet;
  std::map<std::size_t, std::shared_ptr<HttpConnection>> Connections;
};

} // namespace turmericpitch
