// One round of requests for grants.
#pragma once

#include "failover/GrantorSet.h"
#include "failover/LeaseMessages.h"

#include <map>
#include <set>
#include <vector>

namespace turmericpitch {

/// An epoch whose record a majority of the grantors promised to keep open.
struct GrantedEpoch {
  ServiceId Service;
  std::uint64_t Epoch = 0;

  auto operator<=>(const GrantedEpoch &) const = default;
};

/// One round of requests for grants. Pure; not thread-safe.
class GrantRound {
public:
  GrantRound() = default;
  GrantRound(std::uint32_t Serial, TimePoint SentAt, GrantorSet Set)
      : Serial(Serial), SentAt(SentAt), Set(std::move(Set)) {}

  /// Records the grants in one part of a reply, and returns the epochs that
  /// have reached a majority with it. Replies to other rounds and of others
  /// than grantors are ignored.
  std::vector<GrantedEpoch> onReply(const Grantor &From,
                                    const LeaseReply &Reply);
  [[nodiscard]] std::uint32_t serial() const { return this->Serial; }
  [[nodiscard]] TimePoint sentAt() const { return this->SentAt; }
  [[nodiscard]] const GrantorSet &grantors() const { return this->Set; }

private:
  std::uint32_t Serial = 0;
  TimePoint SentAt;
  GrantorSet Set;
  std::map<GrantedEpoch, std::set<Grantor>> Granted;
};

} // namespace turmericpitch
