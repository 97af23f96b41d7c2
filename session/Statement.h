// One statement of a caller's session, decoded.
#pragma once

#include <cstdint>
#include <string>

namespace turmericpitch {

/// What a statement asks for.
enum class StatementKind : std::uint8_t {
  /// Opens a transaction that may write.
  Begin,
  /// Opens a transaction that only reads.
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  /// Sets a value of the session.
  SetValue,
  /// Gives a name to a statement of the session.
  Prepare,
  /// Runs a prepared statement.
  Execute,
  /// Forgets a prepared statement.
  Deallocate,
  /// None of the above.
  Unknown,
};

/// A statement with the id its caller gave it. Immutable value.
struct Statement {
  StatementKind Kind = StatementKind::Unknown;
  std::string Id;
  /// The whole text as it came.
  std::string Text;
  /// The value's or prepared statement's name; empty for other kinds.
  std::string Name;
  /// What follows the name: a value, a shape or arguments.
  std::string Operand;
  /// For Prepare: whether the prepared statement writes.
  bool PreparedWrites = false;

  bool operator==(const Statement &) const = default;
};

} // namespace turmericpitch
