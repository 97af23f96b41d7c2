#include "session/ConnectionState.h"

namespace turmericpitch {

std::string PreparedNames::nameOf(const PreparedStatement &Prepared) {
  auto [Found, Added] =
      this->Names.try_emplace(Prepared, "p" + std::to_string(Names.size()));
  return Found->second;
}

std::vector<FittingStep>
ConnectionState::stepsFor(const std::map<std::string, std::string> &Wanted,
                          const PreparedStatement *Prepared,
                          PreparedNames &Names) const {
  std::vector<FittingStep> Steps;
  bool Clear = this->Prepared.size() >= MostPrepared;
  for (const auto &[Name, Value] : this->Values)
    Clear = Clear || !Wanted.contains(Name);
  if (Clear)
    Steps.push_back({.What = FittingStep::Kind::Clear});
  for (const auto &[Name, Value] : Wanted) {
    auto Held = this->Values.find(Name);
    if (Clear || Held == this->Values.end() || Held->second != Value)
      Steps.push_back({.What = FittingStep::Kind::SetValue,
                       .Name = Name,
                       .Content = Value});
  }
  if (!Prepared)
    return Steps;
  std::string Name = Names.nameOf(*Prepared);
  if (Clear || !this->Prepared.contains(Name))
    Steps.push_back({.What = FittingStep::Kind::Prepare,
                     .Name = std::move(Name),
                     .Content = Prepared->Shape,
                     .Writes = Prepared->Writes});
  return Steps;
}

void ConnectionState::onStepDone(const FittingStep &Step) {
  switch (Step.What) {
  case FittingStep::Kind::Clear:
    this->Values.clear();
    this->Prepared.clear();
    break;
  case FittingStep::Kind::SetValue:
    this->Values[Step.Name] = Step.Content;
    break;
  case FittingStep::Kind::Prepare:
    this->Prepared.insert(Step.Name);
    break;
  }
}

} // namespace turmericpitch
