#include "session/ConnectionState.h"

#include "core/Digest.h"

namespace turmericpitch {

namespace {

/// 128 bits: callers can't find two texts with the same name.
constexpr std::size_t NameDigits = 32;

} // namespace

std::string memberNameOf(const PreparedStatement &Prepared) {
  return (Prepared.Writes ? "w" : "r") +
         sha256Hex(Prepared.Text).substr(0, NameDigits);
}

std::vector<SessionSetupStep> ConnectionState::setupSteps(
    const std::map<std::string, std::string> &SessionValues,
    const PreparedStatement *Prepared) const {
  std::vector<SessionSetupStep> Steps;
  bool Clear = this->Prepared.size() >= MaxPrepared;
  for (const auto &[Name, Value] : this->Values)
    Clear = Clear || !SessionValues.contains(Name);
  if (Clear)
    Steps.push_back({.Type = SessionSetupStep::Kind::Clear});
  for (const auto &[Name, Value] : SessionValues) {
    auto Held = this->Values.find(Name);
    if (Clear || Held == this->Values.end() || Held->second != Value)
      Steps.push_back({.Type = SessionSetupStep::Kind::SetValue,
                       .Name = Name,
                       .Content = Value});
  }
  if (!Prepared)
    return Steps;
  std::string Name = memberNameOf(*Prepared);
  if (Clear || !this->Prepared.contains(Name))
    Steps.push_back({.Type = SessionSetupStep::Kind::Prepare,
                     .Name = std::move(Name),
                     .Content = Prepared->Text,
                     .Writes = Prepared->Writes});
  return Steps;
}

void ConnectionState::onStepCompleted(const SessionSetupStep &Step) {
  switch (Step.Type) {
  case SessionSetupStep::Kind::Clear:
    this->Values.clear();
    this->Prepared.clear();
    break;
  case SessionSetupStep::Kind::SetValue:
    this->Values[Step.Name] = Step.Content;
    break;
  case SessionSetupStep::Kind::Prepare:
    this->Prepared.insert(Step.Name);
    break;
  }
}

} // namespace turmericpitch
