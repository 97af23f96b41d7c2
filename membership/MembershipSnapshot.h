// What an instance believes about all instances at one moment.
#pragma once

#include "membership/InstanceRecord.h"

#include <memory>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// The use to be made of an instance.
enum class InstanceState {
  Live,
  /// It does not answer, but may yet refute that it is gone.
  Suspect,
  /// Nothing was heard from its whole zone for a while.
  Unreachable,
  /// It ends its work and takes no more.
  Leaving,
  Dead,
};

/// The state's stable name. Thread-safe.
std::string_view toString(InstanceState State);

/// One instance as believed.
struct InstanceView {
  InstanceId Id;
  ZoneId Zone;
  Endpoint PeerEndpoint;
  Incarnation IncarnationNumber;
  InstanceState State = InstanceState::Live;

  auto operator<=>(const InstanceView &) const = default;
};

/// Everything believed at one moment, own instance included. Immutable;
/// thread-safe.
class MembershipSnapshot {
public:
  /// Precondition: Instances are sorted by name.
  MembershipSnapshot(InstanceId Self, ZoneId Zone, bool Joined,
                     bool SelfReplaced, std::vector<InstanceView> Instances);

  [[nodiscard]] const InstanceId &self() const { return this->Self; }
  [[nodiscard]] const ZoneId &zone() const { return this->Zone; }
  /// Whether the table was read whole from a peer, or there is none.
  [[nodiscard]] bool joined() const { return this->Joined; }
  /// Whether another process runs under this instance's name since.
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
