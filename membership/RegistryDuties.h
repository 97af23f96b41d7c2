// Which of the registered instances carry out a duty.
#pragma once

#include "membership/DutyAssignment.h"
#include "membership/InstanceRegistry.h"

#include <functional>

namespace turmericpitch {

/// Ranks the instances of a registry for duties, spread over availability
/// zones, so that the loss of a zone takes one holder of several. Follows the
/// registry. Not thread-safe.
class RegistryDuties {
public:
  /// Whether an instance can't act at present.
  using UnavailableLookup = std::function<bool(const InstanceId &)>;

  /// Precondition: Registry outlives this object.
  explicit RegistryDuties(const InstanceRegistry &Registry)
      : Registry(Registry) {}

  /// The first Count holders of a duty, first in rank first.
  [[nodiscard]] std::vector<InstanceId> holders(const DutyKey &Key,
                                                std::size_t Count) const;
  /// How many instances that can act come before the own one; all of them if
  /// it isn't listed.
  [[nodiscard]] std::size_t rank(const DutyKey &Key,
                                 const UnavailableLookup &IsUnavailable) const;
  /// Whether the own instance is among the first Count holders.
  [[nodiscard]] bool holds(const DutyKey &Key, std::size_t Count) const;

private:
  const std::vector<InstanceId> &rankedHolders(const DutyKey &Key) const;

  const InstanceRegistry &Registry;
  /// Ranked once for each list of instances.
  mutable std::map<DutyKey, std::vector<InstanceId>> RankingCache;
  mutable std::uint64_t CachedDigest = 0;
};

} // namespace turmericpitch
