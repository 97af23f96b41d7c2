// The session state that a pooled connection to a member currently carries.
#pragma once

#include "session/SessionState.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpitch {

/// A statement that the proxy sends to prepare a pooled connection for a
/// session.
struct SessionSetupStep {
  enum class Kind : std::uint8_t {
    /// Discards all values and prepared statements.
    Clear,
    SetValue,
    Prepare,
  };

  Kind Type = Kind::Clear;
  /// The name of the value or prepared statement at the member.
  std::string Name = {};
  /// The value, or the text of the prepared statement.
  std::string Content = {};
  /// For Prepare: whether the statement writes.
  bool Writes = false;

  bool operator==(const SessionSetupStep &) const = default;
};

/// The name used at members for a prepared statement. Derived from its content
/// alone, so that sessions with equal statements share them on a connection and
/// nothing has to be remembered. Thread-safe.
std::string memberNameOf(const PreparedStatement &Prepared);

/// Values and prepared statements of one connection. Performs no I/O; not
/// thread-safe.
class ConnectionState {
public:
  /// Maximum number of prepared statements on one connection; when it is
  /// reached, the connection is cleared before it serves the next statement.
  static constexpr std::size_t MaxPrepared = 64;

  /// The steps to run, in this order, before the connection may serve a session
  /// with these values. Prepared is the prepared statement to be executed next,
  /// or nullptr.
  [[nodiscard]] std::vector<SessionSetupStep>
  setupSteps(const std::map<std::string, std::string> &SessionValues,
             const PreparedStatement *Prepared) const;
  /// Records a step that the member has confirmed.
  void onStepCompleted(const SessionSetupStep &Step);

private:
  std::map<std::string, std::string> Values;
  std::set<std::string> Prepared;
};

} // namespace turmericpitch
