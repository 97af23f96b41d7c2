#include "core/DecisionLog.h"

#include "core/Metrics.h"

#include <easylogging++.h>

namespace turmericpitch {

namespace {

constexpr std::string_view DecisionKey = "decision=";
constexpr std::string_view QuotedCharacters = " \"=\n\t";

/// Where the log lines go.
struct LogTarget {
  bool Terminal = true;
  /// Empty for no file.
  std::string File;
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

/// Configures the library on first use; its own storage is not yet there
/// while static objects are initialised.
void ensureConfigured() {
  static const bool Configured = (configureLog(LogTarget{}), true);
  static_cast<void>(Configured);
}

std::string quoted(std::string_view Value) {
  std::string Text = "\"";
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Text += '\\';
    Text += Character == '\n' ? ' ' : Character;
  }
  return Text + '"';
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
  if (Value.empty() ||
      Value.find_first_of(QuotedCharacters) != std::string_view::npos)
    this->Text += quoted(Value);
  else
    this->Text += Value;
  return *this;
}

void writeDecision(const DecisionLine &Line) {
  processMetrics().count("decisions_total", Line.kind());
  ensureConfigured();
  LOG(INFO) << Line.text();
}

void writeInfo(std::string_view Text) {
  ensureConfigured();
  LOG(INFO) << Text;
}

void writeWarning(std::string_view Text) {
  ensureConfigured();
  LOG(WARNING) << Text;
}

void sendLogTo(const std::string &Path) {
  ensureConfigured();
  configureLog({.Terminal = false, .File = Path});
}

} // namespace turmericpitch
