// Lines of the session protocol, encoded so that no field can end a line or a
// word.
#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>

namespace turmericpitch {

/// The name of the first character that a field may not hold: one that ends a
/// line, or NUL; empty if there is none. Thread-safe.
std::string_view forbiddenCharacter(std::string_view Field);

/// Bytes of whole lines. Only LineEncoder makes them, and connections send
/// nothing else. Immutable but for appending.
class ProtocolLines {
public:
  ProtocolLines() = default;

  [[nodiscard]] const std::string &bytes() const { return this->Bytes; }
  ProtocolLines &operator+=(const ProtocolLines &More) {
    this->Bytes += More.Bytes;
    return *this;
  }
  bool operator==(const ProtocolLines &) const = default;

private:
  friend class LineEncoder;
  /// Defined by tests alone, whose stand-ins also send invalid lines.
  friend struct UncheckedLines;

  explicit ProtocolLines(std::string Bytes) : Bytes(std::move(Bytes)) {}

  std::string Bytes;
};

/// Encodes one line: a kind, words, and at most one last field that extends to
/// the end of the line. Not thread-safe.
class LineEncoder {
public:
  /// Kind is one of the protocol's own words.
  explicit LineEncoder(std::string_view Kind) : Line(Kind) {}

  /// Appends a field that is one word. Field names it in errors.
  LineEncoder &word(std::string_view Field, std::string_view Value);
  /// Appends the last field, which may hold blanks or be empty.
  LineEncoder &rest(std::string_view Field, std::string_view Value);
  /// Appends an explanation as the last field; what can't be sent becomes '?'.
  LineEncoder &explanation(std::string_view Text);
  /// The line. Errors: BadRequest that names the first field which can't be
  /// encoded, or if the line is longer than a message may be.
  [[nodiscard]] Outcome<ProtocolLines> encode() const;
  /// The same for a line of the protocol's own words, numbers and
  /// explanations, which can't fail.
  [[nodiscard]] ProtocolLines encodeOwn() const;

private:
  void refuse(std::string_view Field, std::string_view Why);

  std::string Line;
  std::string Refusal;
};

} // namespace turmericpitch
