#include "membership/RelayChoice.h"

namespace turmericpitch {

RelayChoice chooseRelay(const RelayChoiceOptions &Options,
                        const std::vector<RelayView> &Relays,
                        const ZoneId &Zone, bool IsRelay, std::uint64_t Seed,
                        std::size_t Turn) {
  RelayChoice Choice;
  std::vector<const RegisteredInstance *> Usable;
  std::vector<const RegisteredInstance *> SameZone;
  std::vector<const RegisteredInstance *> Silent;
  for (const RelayView &Each : Relays) {
    if (Each.Silent) {
      Silent.push_back(Each.Entry);
      continue;
    }
    Usable.push_back(Each.Entry);
    if (Each.Entry->Zone == Zone && !Each.MissedLast)
      SameZone.push_back(Each.Entry);
  }
  if (!Silent.empty() && Turn % Options.SilentPeriod == 0)
    Choice.Silent = Silent[Turn / Options.SilentPeriod % Silent.size()];
  if (Usable.empty())
    return Choice;
  if (IsRelay)
    Choice.Source = Usable.front();
  else if (!SameZone.empty())
    Choice.Source = SameZone[Seed % SameZone.size()];
  else
    Choice.Source = Usable[Turn % Usable.size()];
  return Choice;
}

} // namespace turmericpitch
