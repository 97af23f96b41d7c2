// One round of queries to all registered instances.
#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"
#include "failover/LeaseMessages.h"

#include <map>
#include <set>

namespace turmericpitch {

/// Number of replying instances to which a service's primary responds or not.
struct ReachabilityCounts {
  std::size_t Responding = 0;
  std::size_t Silent = 0;

  bool operator==(const ReachabilityCounts &) const = default;
};

/// Collects the replies of one round. Pure; not thread-safe.
class LeaseRound {
public:
  LeaseRound() = default;
  /// Queried: the queried instances, without this one.
  LeaseRound(std::uint32_t Serial, TimePoint SentAt,
             std::set<InstanceId> Queried);

  /// Records one part of a reply. Parts of other rounds, of instances that
  /// weren't queried and duplicates are ignored.
  void onReply(const InstanceId &From, const LeaseReply &Reply);
  [[nodiscard]] std::uint32_t serial() const { return this->Serial; }
  [[nodiscard]] TimePoint sentAt() const { return this->SentAt; }
  /// Whether all parts of the reply of each queried instance have arrived.
  [[nodiscard]] bool complete() const { return this->Pending.empty(); }
  /// Counts over the parts that have arrived so far.
  [[nodiscard]] ReachabilityCounts reachability(const ServiceId &Id) const;

private:
  std::uint32_t Serial = 0;
  TimePoint SentAt;
  /// The parts of each instance's reply that have arrived.
  std::map<InstanceId, std::set<std::uint8_t>> ReceivedParts;
  std::set<InstanceId> Pending;
  std::map<ServiceId, ReachabilityCounts> Reachability;
};

} // namespace turmericpitch
