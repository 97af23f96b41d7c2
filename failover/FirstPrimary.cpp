#include "failover/FirstPrimary.h"

#include <algorithm>

namespace turmericpitch {

std::optional<UpstreamId>
chooseFirstPrimary(const FirstPrimaryOptions &Options,
                   const std::vector<FirstPrimaryCandidate> &Candidates,
                   Duration Waited) {
  Term Newest;
  for (const FirstPrimaryCandidate &Each : Candidates)
    if (Each.Answered)
      Newest = std::max(Newest, Each.Newest);
  std::optional<UpstreamId> Chosen;
  for (const FirstPrimaryCandidate &Each : Candidates) {
    if (!Each.Claims)
      continue;
    if (!Each.Answered && Waited < Options.ClaimantTimeout)
      return std::nullopt;
    if (!Each.Answered || !Each.Leads || Each.Newest < Newest)
      continue;
    if (Chosen)
      return std::nullopt;
    Chosen = Each.Id;
  }
  return Chosen;
}

} // namespace turmericpitch
