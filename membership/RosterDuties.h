// Which of the registered instances carry out a duty.
#pragma once

#include "membership/DutyAssignment.h"
#include "membership/InstanceRoster.h"

#include <functional>

namespace turmericpitch {

/// Ranks the instances of a roster for duties, spread over availability
/// zones, so that the loss of a zone takes one holder of several. Follows the
/// roster. Not thread-safe.
class RosterDuties {
public:
  /// Whether an instance can't act at present.
  using UnableLookup = std::function<bool(const InstanceId &)>;

  /// Precondition: Roster outlives this object.
  explicit RosterDuties(const InstanceRoster &Roster) : Roster(Roster) {}

  /// The first Count holders of a duty, first in rank first.
  [[nodiscard]] std::vector<InstanceId> holders(const DutyKey &Key,
                                                std::size_t Count) const;
  /// How many instances that can act come before the own one; all of them if
  /// it isn't listed.
  [[nodiscard]] std::size_t rank(const DutyKey &Key,
                                 const UnableLookup &IsUnable) const;
  /// Whether the own instance is among the first Count holders.
  [[nodiscard]] bool holds(const DutyKey &Key, std::size_t Count) const;

private:
  const std::vector<InstanceId> &ranked(const DutyKey &Key) const;

  const InstanceRoster &Roster;
  /// Ranked once for each list of instances.
  mutable std::map<DutyKey, std::vector<InstanceId>> Ranked;
  mutable std::uint64_t RankedFor = 0;
};

} // namespace turmericpitch
