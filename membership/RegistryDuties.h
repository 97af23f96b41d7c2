// Assigns duties to the registered instances.
#pragma once

#include "membership/DutyAssignment.h"
#include "membership/InstanceRegistry.h"

#include <functional>
#include <map>
#include <vector>

namespace turmericpitch {

/// Ranks the instances of a registry for duties. Holders spread over
/// availability zones, so that the loss of a zone removes only one of several
/// holders. Follows changes of the registry. Not thread-safe.
class RegistryDuties {
public:
  /// Whether an instance can't act at the moment.
  using UnavailableLookup = std::function<bool(const InstanceId &)>;

  /// Precondition: Registry outlives this object.
  explicit RegistryDuties(const InstanceRegistry &Registry)
      : Registry(Registry) {}

  /// The first Count holders of a duty, highest rank first.
  [[nodiscard]] std::vector<InstanceId> holders(const DutyKey &Key,
                                                std::size_t Count) const;
  /// Number of instances that can act and rank before this one, or the number
  /// of all registered instances if this one isn't listed.
  [[nodiscard]] std::size_t rank(const DutyKey &Key,
                                 const UnavailableLookup &IsUnavailable) const;
  /// Whether this instance is among the first Count holders.
  [[nodiscard]] bool holds(const DutyKey &Key, std::size_t Count) const;

private:
  const std::vector<InstanceId> &rankedHolders(const DutyKey &Key) const;

  const InstanceRegistry &Registry;
  /// Rankings for the list of instances with the digest CachedDigest.
  mutable std::map<DutyKey, std::vector<InstanceId>> RankingCache;
  mutable std::uint64_t CachedDigest = 0;
};

} // namespace turmericpitch
