// Runs the membership protocol over datagrams.
#pragma once

#include "drivers/PeerTransport.h"
#include "membership/MembershipController.h"

#include <atomic>

namespace turmericpitch {

/// Ticks the controller, sends its messages and passes it received ones.
/// Thread-safe. Must be held by a shared pointer.
class MembershipExchange
    : public std::enable_shared_from_this<MembershipExchange> {
public:
  MembershipExchange(std::shared_ptr<PeerTransport> Transport,
                     std::shared_ptr<MembershipController> Controller);

  /// Registers the handler of the membership topic. Call before the transport
  /// starts.
  void attach();
  /// Runs until stop().
  Awaitable<void> run();
  /// Notifies some peers that this instance accepts no more work.
  void beginLeaving();
  /// Notifies some peers that this instance terminates, and stops.
  void depart();
  /// Stops without notifying any peer, like a crash.
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
