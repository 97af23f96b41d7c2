// One statement of a caller's session, decoded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace turmericpitch {

/// Maximum length of a line in bytes, without the line end.
inline constexpr std::size_t MaxLineBytes = 1024 * 1024;

/// The kind of a statement.
enum class StatementKind : std::uint8_t {
  /// Opens a transaction that may write.
  Begin,
  /// Opens a read-only transaction.
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  /// Sets a value of the session.
  SetValue,
  /// Creates a prepared statement.
  Prepare,
  /// Runs a prepared statement.
  Execute,
  /// Removes a prepared statement.
  Deallocate,
  /// None of the above.
  Unknown,
};

/// A statement with the id assigned by its caller. Immutable value.
struct Statement {
  StatementKind Kind = StatementKind::Unknown;
  std::string Id;
  /// The complete text as received.
  std::string Text;
  /// The name of the value or prepared statement; empty for other kinds.
  std::string Name;
  /// What follows the name: the value, the text of the prepared statement, or
  /// the arguments for its execution.
  std::string Operand;
  /// For Prepare: whether the prepared statement writes.
  bool PreparedWrites = false;

  bool operator==(const Statement &) const = default;
};

} // namespace turmericpitch
