// Shares the state of the membership protocol between threads.
#pragma once

#include "membership/MembershipProtocol.h"

#include <mutex>

namespace turmericpitch {

/// Runs the membership protocol under one lock and publishes immutable
/// snapshots. Thread-safe. Readers of current() never wait for the protocol.
class MembershipController {
public:
  MembershipController(MembershipOptions Options, std::uint64_t Seed);

  /// Runs the protocol's due actions and publishes a snapshot if it has
  /// changed.
  OutgoingMembershipMessages onTick(TimePoint Now);
  /// Processes a payload of the membership topic from an authenticated frame.
  /// Malformed payloads are counted and dropped. Changes are published by the
  /// next onTick().
  OutgoingMembershipMessages onPayload(const InstanceId &From,
                                       std::string_view Payload, TimePoint Now);
  /// These three act as in MembershipProtocol and publish the change at once.
  void onPlatformList(const std::vector<PlatformInstance> &List, TimePoint Now);
  OutgoingMembershipMessages beginLeaving(TimePoint Now);
  OutgoingMembershipMessages depart(TimePoint Now);

  /// The current snapshot; never null.
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
