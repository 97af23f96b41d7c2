// Carries the membership exchange over datagrams.
#pragma once

#include "drivers/PeerTransport.h"
#include "membership/MembershipController.h"

#include <atomic>

namespace turmericpitch {

/// Ticks the controller, sends what it asks for and hands it what arrives.
/// Thread-safe. Must be held by a shared pointer.
class MembershipExchange
    : public std::enable_shared_from_this<MembershipExchange> {
public:
  MembershipExchange(std::shared_ptr<PeerTransport> Transport,
                     std::shared_ptr<MembershipController> Controller);

  /// Takes the membership topic. Call before the transport starts.
  void attach();
  /// Runs until stop().
  Awaitable<void> run();
  /// Tells some peers that this instance takes no more work.
  void beginLeaving();
  /// Tells some peers that this instance ends, and stops.
  void depart();
  /// Stops without a word, as a crash does.
  void stop() { this->Stopped = true; }

private:
  void send(const OutgoingMembershipMessages &Sends);
  void logChanges(const SharedMembership &Before,
                  const SharedMembership &After) const;

  std::shared_ptr<PeerTransport> Transport;
  std::shared_ptr<MembershipController> Controller;
  std::atomic<bool> Stopped = false;
  MonotonicClock Time;
};

} // namespace turmericpitch
