// The membership exchange's state for all threads.
#pragma once

#include "membership/MembershipProtocol.h"

#include <mutex>

namespace turmericpitch {

/// Runs the protocol under one lock and publishes immutable snapshots.
/// Thread-safe; readers of current() never wait for the protocol.
class MembershipController {
public:
  MembershipController(MembershipOptions Options, std::uint64_t Seed);

  /// Does what is due, and publishes what has changed.
  OutgoingMembershipMessages onTick(TimePoint Now);
  /// Takes in a payload of the membership topic from an authenticated
  /// frame; what can't be read is counted and dropped.
  OutgoingMembershipMessages onPayload(const InstanceId &From,
                                       std::string_view Payload, TimePoint Now);
  /// See MembershipProtocol; published at once.
  void onPlatformList(const std::vector<PlatformInstance> &List, TimePoint Now);
  OutgoingMembershipMessages beginLeaving(TimePoint Now);
  OutgoingMembershipMessages depart(TimePoint Now);

  /// What is believed now; never null.
  [[nodiscard]] SharedMembership current() const;
  /// Whether peers or the platform marked this instance as leaving, or
  /// beginLeaving() was called.
  [[nodiscard]] bool leaving() const;
  [[nodiscard]] TimePoint nextTick() const;
  [[nodiscard]] MembershipCounters counters() const;

private:
  void publish(TimePoint Now);

  mutable std::mutex Mutex;
  MembershipProtocol Protocol;
  std::uint64_t PublishedVersion = 0;

  mutable std::mutex PublishedMutex;
  SharedMembership Published;
};

} // namespace turmericpitch
