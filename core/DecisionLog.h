// Structured log lines, one for each routing or placement decision.
#pragma once

#include "core/BoundedLog.h"

#include <concepts>
#include <string>
#include <string_view>

namespace turmericpitch {

/// A decision as key=value pairs with stable field names. Not thread-safe.
class DecisionLine {
public:
  /// Kind is the decision's stable name, as in "route".
  explicit DecisionLine(std::string_view Kind);

  /// Appends a field. Values with spaces, quotes or '=' are quoted.
  DecisionLine &field(std::string_view Key, std::string_view Value);
  template <std::integral T>
  DecisionLine &field(std::string_view Key, T Value) {
    return this->field(Key, std::string_view(std::to_string(Value)));
  }

  [[nodiscard]] const std::string &text() const { return this->Text; }
  [[nodiscard]] std::string_view kind() const;

private:
  std::string Text;
  std::size_t KindLength;
};

/// The value of a field as it is logged: quoted if it contains spaces, quotes,
/// '=' or characters that can't be printed, which become spaces. Thread-safe.
std::string logValue(std::string_view Value);
/// Writes the line to the decision log and counts its kind. Thread-safe.
void writeDecision(const DecisionLine &Line);
/// Writes an informational line for operators. Thread-safe.
void writeInfo(std::string_view Text);
/// Writes a warning line for operators. Thread-safe.
void writeWarning(std::string_view Text);
/// Appends all log lines to Buffer instead of writing them immediately, each
/// with the priority of its kind. Buffer must outlive all logging. Call before
/// starting threads.
void bufferLogIn(BoundedLog &Buffer);
/// Writes all log lines to the file at Path, or discards them if Path is
/// empty. By default they go to standard output. Call before starting threads.
void sendLogTo(const std::string &Path);

} // namespace turmericpitch
