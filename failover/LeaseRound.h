// One round of lease queries to all registered instances.
#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"
#include "failover/LeaseMessages.h"

#include <map>
#include <set>
#include <vector>

namespace turmericpitch {

/// Number of replying instances to which a service's primary responds or not.
struct ReachabilityCounts {
  std::size_t Responding = 0;
  std::size_t Silent = 0;

  bool operator==(const ReachabilityCounts &) const = default;
};

/// An epoch whose record all queried instances have promised not to close.
struct GrantedEpoch {
  ServiceId Service;
  std::uint64_t Epoch = 0;

  auto operator<=>(const GrantedEpoch &) const = default;
};

/// Gathers the answers to one round. Pure; not thread-safe.
class LeaseRound {
public:
  LeaseRound() = default;
  /// Asked: everyone but the asker itself.
  LeaseRound(std::uint32_t Serial, TimePoint SentAt,
             std::set<InstanceId> Asked);

  void onReply(const InstanceId &From, const LeaseReply &Reply);
  [[nodiscard]] std::uint32_t serial() const { return this->Serial; }
  [[nodiscard]] TimePoint sentAt() const { return this->SentAt; }
  /// Whether everyone asked has answered whole.
  [[nodiscard]] bool complete() const { return this->Pending.empty(); }
  /// The reigns that everyone asked grants; empty unless complete().
  [[nodiscard]] std::vector<GrantedEpoch> granted() const;
  [[nodiscard]] ReachabilityCounts reachability(const ServiceId &Id) const;

private:
  std::uint32_t Serial = 0;
  TimePoint SentAt;
  std::size_t Asked = 0;
  /// The parts that have come of each instance's answer.
  std::map<InstanceId, std::set<std::uint8_t>> ReceivedParts;
  std::set<InstanceId> Pending;
  std::map<GrantedEpoch, std::size_t> Grants;
  std::map<ServiceId, ReachabilityCounts> Reachability;
};

} // namespace turmericpitch
