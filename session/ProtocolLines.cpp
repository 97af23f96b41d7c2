#include "session/ProtocolLines.h"

#include "session/Statement.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr std::string_view LineEnd = "\r\n";

} // namespace

std::string_view forbiddenCharacter(std::string_view Field) {
  for (char Character : Field) {
    if (Character == '\n')
      return "line feed";
    if (Character == '\r')
      return "carriage return";
    if (Character == '\0')
      return "NUL";
  }
  return "";
}

void LineEncoder::refuse(std::string_view Field, std::string_view Why) {
  if (this->Refusal.empty())
    this->Refusal = "the " + std::string(Field) + " " + std::string(Why);
}

LineEncoder &LineEncoder::word(std::string_view Field, std::string_view Value) {
  if (Value.empty())
    this->refuse(Field, "is empty");
  if (Value.find(' ') != std::string_view::npos)
    this->refuse(Field, "holds a blank");
  return this->rest(Field, Value);
}

LineEncoder &LineEncoder::rest(std::string_view Field, std::string_view Value) {
  std::string_view Forbidden = forbiddenCharacter(Value);
  if (!Forbidden.empty())
    this->refuse(Field, "holds a " + std::string(Forbidden));
  this->Line += ' ';
  this->Line += Value;
  return *this;
}

LineEncoder &LineEncoder::explanation(std::string_view Text) {
  std::string Clean(Text);
  std::ranges::replace_if(
      Clean,
      [](char Character) {
        return !forbiddenCharacter({&Character, 1}).empty();
      },
      '?');
  return this->rest("explanation", Clean);
}

Outcome<ProtocolLines> LineEncoder::encode() const {
  std::string Why = this->Refusal;
  if (Why.empty() && this->Line.size() > MaxLineBytes)
    Why = "the message is longer than 1 MiB";
  if (!Why.empty())
    return Error{.Kind = ErrorKind::BadRequest,
                 .Message = Why + "; not run",
                 .Remedy = "send a text without it"};
  return this->encodeOwn();
}

ProtocolLines LineEncoder::encodeOwn() const {
  if (!this->Refusal.empty())
    return {};
  return ProtocolLines(this->Line + std::string(LineEnd));
}

} // namespace turmericpitch
