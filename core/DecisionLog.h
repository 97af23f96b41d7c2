// One structured line for each routing or placement decision.
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

/// Writes the line to the decision log and counts its kind. Thread-safe.
void writeDecision(const DecisionLine &Line);
/// Writes an informational line for operators. Thread-safe.
void writeInfo(std::string_view Text);
/// Writes a warning line for operators. Thread-safe.
void writeWarning(std::string_view Text);
/// Gathers all log lines in Into instead of writing them at once, each with
/// the weight of its kind. Into must outlive all logging. Call before
/// starting threads.
void bufferLogIn(BoundedLog &Buffer);
/// Sends all log lines to the file, or drops them if Path is empty; by
/// default they go to standard error. Call before starting threads.
void sendLogTo(const std::string &Path);

} // namespace turmericpitch
