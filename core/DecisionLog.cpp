#include "core/DecisionLog.h"

#include "core/Metrics.h"

#include <algorithm>
#include <array>
#include <easylogging++.h>

namespace turmericpitch {

namespace {

constexpr std::string_view DecisionKey = "decision=";
constexpr std::string_view QuotedCharacters = " \"=";

/// The destinations of log lines.
struct LogTarget {
  bool Terminal = true;
  /// Empty means that no file is written.
  std::string File = {};
};

void configureLog(const LogTarget &Target) {
  el::Configurations Configuration;
  Configuration.setToDefault();
  Configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  Configuration.setGlobally(el::ConfigurationType::ToStandardOutput,
                            Target.Terminal ? "true" : "false");
  if (!Target.File.empty())
    Configuration.setGlobally(el::ConfigurationType::Filename, Target.File);
  Configuration.setGlobally(el::ConfigurationType::ToFile,
                            Target.File.empty() ? "false" : "true");
  el::Loggers::reconfigureAllLoggers(Configuration);
}

/// Configures the logging library on first use. During static initialisation
/// the library's own storage may not exist yet.
void ensureConfigured() {
  static const bool Configured = (configureLog(LogTarget{}), true);
  static_cast<void>(Configured);
}

/// Kinds of lines with LogPriority::Minor.
constexpr std::array<std::string_view, 7> MinorKinds{
    "decision=retry",
    "decision=hedge",
    "decision=link_not_opened",
    "decision=successor_candidate",
    "decision=end_idle_transaction",
    "decision=refuse_session",
    "decision=refuse_operation"};

LogPriority priorityOf(std::string_view Text) {
  for (std::string_view Kind : MinorKinds)
    if (Text.starts_with(Kind))
      return LogPriority::Minor;
  return LogPriority::Major;
}

/// The buffer set by bufferLogIn(), or nullptr; set at most once.
BoundedLog *&logBuffer() {
  static BoundedLog *Log = nullptr;
  return Log;
}

/// Appends the formatted lines of the logging library to the buffer.
class BufferingCallback : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    const el::LogMessage *Message = Data->logMessage();
    std::string Line = Message->logger()->logBuilder()->build(Message, false);
    logBuffer()->add(Line, priorityOf(Message->message()), BootClock().now());
  }
};

/// Whether a character isn't a control character; bytes of UTF-8 aren't.
bool isPrintable(char Character) {
  constexpr unsigned char Delete = 0x7F;
  auto Byte = static_cast<unsigned char>(Character);
  return Byte >= ' ' && Byte != Delete;
}

std::string quoted(std::string_view Value) {
  std::string Text = "\"";
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Text += '\\';
    Text += isPrintable(Character) ? Character : ' ';
  }
  return Text + '"';
}

/// The text of one line: what can't be printed, such as a line feed in a name
/// of another writer, becomes a blank.
std::string oneLine(std::string_view Text) {
  std::string Line(Text);
  std::ranges::replace_if(
      Line, [](char Character) { return !isPrintable(Character); }, ' ');
  return Line;
}

} // namespace

DecisionLine::DecisionLine(std::string_view Kind)
    : Text(std::string(DecisionKey) + std::string(Kind)),
      KindLength(Kind.size()) {}

std::string_view DecisionLine::kind() const {
  return std::string_view(this->Text)
      .substr(DecisionKey.size(), this->KindLength);
}

DecisionLine &DecisionLine::field(std::string_view Key,
                                  std::string_view Value) {
  this->Text += ' ';
  this->Text += Key;
  this->Text += '=';
  this->Text += logValue(Value);
  return *this;
}

std::string logValue(std::string_view Value) {
  if (Value.empty() ||
      Value.find_first_of(QuotedCharacters) != std::string_view::npos ||
      !std::ranges::all_of(Value, isPrintable))
    return quoted(Value);
  return std::string(Value);
}

void bufferLogIn(BoundedLog &Buffer) {
  ensureConfigured();
  configureLog(LogTarget{.Terminal = false});
  logBuffer() = &Buffer;
  el::Helpers::installLogDispatchCallback<BufferingCallback>(
      "BufferingCallback");
}

void writeDecision(const DecisionLine &Line) {
  processMetrics().count("decisions_total", Line.kind());
  ensureConfigured();
  LOG(INFO) << oneLine(Line.text());
}

void writeInfo(std::string_view Text) {
  ensureConfigured();
  LOG(INFO) << oneLine(Text);
}

void writeWarning(std::string_view Text) {
  ensureConfigured();
  LOG(WARNING) << oneLine(Text);
}

void sendLogTo(const std::string &Path) {
  ensureConfigured();
  configureLog({.Terminal = false, .File = Path});
}

} // namespace turmericpitch
