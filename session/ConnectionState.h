// What a pooled connection to a member holds of the sessions it served.
#pragma once

#include "session/SessionState.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpitch {

/// One statement of the proxy's own that makes a connection fit a session.
struct SessionSetupStep {
  enum class Kind : std::uint8_t {
    /// Clears values and prepared statements.
    Clear,
    SetValue,
    Prepare,
  };

  Kind Type = Kind::Clear;
  /// The value's or prepared statement's name at the member.
  std::string Name = {};
  /// The value or the shape.
  std::string Content = {};
  /// For Prepare: whether the statement writes.
  bool Writes = false;

  bool operator==(const SessionSetupStep &) const = default;
};

/// Names prepared statements by what they do, so that sessions with equal
/// ones share them on a connection. Not thread-safe.
class PreparedStatementNames {
public:
  /// The name at members; the same for equal statements.
  std::string nameOf(const PreparedStatement &Prepared);

private:
  std::map<PreparedStatement, std::string> Names;
};

/// Values and prepared statements of one connection. Pure; not thread-safe.
class ConnectionState {
public:
  /// Prepared statements kept on one connection before it is cleared.
  static constexpr std::size_t MaxPrepared = 64;

  /// What must run, in this order, before the connection may serve a session
  /// with these values; Prepared is the statement about to be executed.
  [[nodiscard]] std::vector<SessionSetupStep>
  setupSteps(const std::map<std::string, std::string> &SessionValues,
             const PreparedStatement *Prepared,
             PreparedStatementNames &Names) const;
  /// The member has confirmed a step.
  void onStepCompleted(const SessionSetupStep &Step);

private:
  std::map<std::string, std::string> Values;
  std::set<std::string> Prepared;
};

} // namespace turmericpitch
