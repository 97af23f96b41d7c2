// Looks up which duties this instance holds.
#pragma once

#include "membership/DutyAssignment.h"
#include "membership/MembershipController.h"

#include <mutex>

namespace turmericpitch {

/// Ranks duties over the current membership snapshot. The assignment is built
/// once per snapshot. Thread-safe.
class DutyLookup {
public:
  DutyLookup(InstanceId Self, std::shared_ptr<MembershipController> Members)
      : Self(std::move(Self)), Members(std::move(Members)) {}

  /// The rank of this instance among the first Count holders of a duty, from
  /// 0, or nothing if it is not one of them.
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
