// Chooses the primary that the first record of a service names.
#pragma once

#include "core/Identifiers.h"
#include "core/LogPosition.h"
#include "core/Time.h"

#include <optional>
#include <vector>

namespace turmericpitch {

/// A member as the store's list and its own reply show it. Immutable value.
struct FirstPrimaryCandidate {
  UpstreamId Id;
  /// Whether the member's entry in the store claims that it is the primary.
  bool Claims = false;
  bool Answered = false;
  /// Whether its reply says that it is the primary.
  bool Leads = false;
  /// The newest term that it knows.
  Term Newest = {};

  bool operator==(const FirstPrimaryCandidate &) const = default;
};

struct FirstPrimaryOptions {
  /// How long a claimant that doesn't answer is waited for. An entry of another
  /// writer may name a member that never was.
  Duration ClaimantTimeout = std::chrono::milliseconds(3000);
};

/// Returns the only member that claims and says to be the primary of the newest
/// term that any member knows. Returns nothing if there is none or more than
/// one, or if another claimant hasn't answered and Waited is below the timeout.
/// Pure; thread-safe.
std::optional<UpstreamId>
chooseFirstPrimary(const FirstPrimaryOptions &Options,
                   const std::vector<FirstPrimaryCandidate> &Candidates,
                   Duration Waited);

} // namespace turmericpitch
