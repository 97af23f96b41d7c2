// An instance's view of all instances at one moment.
#pragma once

#include "membership/InstanceRecord.h"

#include <memory>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// The state of an instance, derived from its record and the reachability of
/// its zone.
enum class InstanceState {
  Live,
  /// The instance does not answer, but may still refute the suspicion.
  Suspect,
  /// No message was received from the instance's whole zone for some time.
  Unreachable,
  /// The instance completes its work and accepts no more.
  Leaving,
  Dead,
};

/// The state's stable name. Thread-safe.
std::string_view toString(InstanceState State);

/// One instance in a snapshot.
struct InstanceView {
  InstanceId Id;
  ZoneId Zone;
  Endpoint PeerEndpoint;
  Incarnation IncarnationNumber;
  InstanceState State = InstanceState::Live;

  auto operator<=>(const InstanceView &) const = default;
};

/// All known instances at one moment, including this one. Immutable;
/// thread-safe.
class MembershipSnapshot {
public:
  /// Precondition: Instances are sorted by name.
  MembershipSnapshot(InstanceId Self, ZoneId Zone, bool Joined,
                     bool SelfReplaced, std::vector<InstanceView> Instances);

  [[nodiscard]] const InstanceId &self() const { return this->Self; }
  [[nodiscard]] const ZoneId &zone() const { return this->Zone; }
  /// Whether the table has been read completely from a peer, or no peer could
  /// be reached.
  [[nodiscard]] bool joined() const { return this->Joined; }
  /// Whether another process has started under this instance's name.
  [[nodiscard]] bool selfReplaced() const { return this->SelfReplaced; }
  /// Sorted by name.
  [[nodiscard]] const std::vector<InstanceView> &instances() const {
    return this->Instances;
  }
  [[nodiscard]] const InstanceView *find(const InstanceId &Id) const;
  [[nodiscard]] std::size_t count(InstanceState State) const;

private:
  InstanceId Self;
  ZoneId Zone;
  bool Joined;
  bool SelfReplaced;
  std::vector<InstanceView> Instances;
};

using SharedMembership = std::shared_ptr<const MembershipSnapshot>;

} // namespace turmericpitch
