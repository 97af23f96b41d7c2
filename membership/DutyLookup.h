// Which duties this instance holds, by what membership believes now.
#pragma once

#include "membership/DutyAssignment.h"
#include "membership/MembershipController.h"

#include <mutex>

namespace turmericpitch {

/// Ranks duties over the newest snapshot; the ranking is prepared once for
/// each snapshot. Thread-safe.
class DutyLookup {
public:
  DutyLookup(InstanceId Self, std::shared_ptr<MembershipController> Members)
      : Self(std::move(Self)), Members(std::move(Members)) {}

  /// The own place among the first Count holders of a duty, from 0; nothing
  /// if this instance is none of them.
  std::optional<std::size_t> rank(const DutyKey &Key, std::size_t Count);

private:
  std::shared_ptr<const DutyAssignment> assignment();

  InstanceId Self;
  std::shared_ptr<MembershipController> Members;
  std::mutex Mutex;
  SharedMembership CachedSnapshot;
  std::shared_ptr<const DutyAssignment> CachedAssignment;
};

} // namespace turmericpitch
