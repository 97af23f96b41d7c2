// Simulates instances that run the membership protocol on one event queue, for
// scenarios and experiments.
#pragma once

#include "core/EventQueue.h"
#include "membership/MembershipProtocol.h"

#include <functional>
#include <memory>

namespace turmericpitch {

struct MembershipFleetOptions {
  /// Protocol options. Self, IncarnationNumber and Seeds are set per instance.
  MembershipOptions Protocol;
  Duration DelayWithinZone = std::chrono::microseconds(300);
  Duration DelayAcrossZones = std::chrono::microseconds(1500);
  /// Fraction of datagrams lost, from 0 to 1.
  double Loss = 0;
  std::uint64_t Seed = 1;
  /// Whether messages are encoded and decoded. Otherwise only their size is
  /// counted.
  bool Encode = true;
};

/// Datagrams and bytes sent, including UDP and IP headers.
struct MembershipTraffic {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

/// Instances that exchange messages in virtual time. Not thread-safe.
class MembershipFleet {
public:
  MembershipFleet(EventQueue &Queue, MembershipFleetOptions Options);

  /// Starts an instance. Replaces an earlier instance of the same name.
  void start(const std::string &Name, const std::string &Zone,
             const std::vector<std::string> &Seeds);
  /// Makes the given records known to all instances at once.
  void preload(const std::vector<InstanceRecord> &Records);
  void kill(const std::string &Name);
  void pause(const std::string &Name);
  void resume(const std::string &Name);
  void beginLeaving(const std::string &Name);
  /// Notifies the peers that the instance departs, then ends it.
  void depart(const std::string &Name);
  /// Delivers a platform list to one instance.
  void deliverPlatformList(const std::string &Name,
                           const std::vector<PlatformInstance> &List);
  /// Blocks or unblocks datagrams from From to To. Both are names of instances
  /// or of zones.
  void setLinkBlocked(const std::string &From, const std::string &To,
                      bool Blocked);
  void setLoss(double Share) { this->Options.Loss = Share; }
  /// Delivers the last Count datagrams that the instance received a second
  /// time.
  void replay(const std::string &Name, std::size_t Count);

  [[nodiscard]] bool isRunning(const std::string &Name) const;
  /// Precondition: an instance of this name was started.
  [[nodiscard]] const MembershipProtocol &
  protocolOf(const std::string &Name) const;
  [[nodiscard]] MembershipSnapshot snapshotOf(const std::string &Name) const;
  [[nodiscard]] std::vector<std::string> names() const;
  [[nodiscard]] MembershipTraffic traffic() const { return this->Traffic; }
  [[nodiscard]] static Endpoint endpointOf(const std::string &Name);
  [[nodiscard]] PlatformInstance platformEntry(const std::string &Name,
                                               bool Leaving,
                                               std::uint64_t Since) const;
  /// Returns the wall-clock time at a virtual time, in milliseconds.
  [[nodiscard]] static std::uint64_t wallClock(TimePoint At);

private:
  struct Datagram {
    InstanceId From;
    MembershipMessage Message;
  };
  struct Node {
    std::string Zone;
    std::unique_ptr<MembershipProtocol> Protocol;
    /// Unique for each start, so that timers of an earlier process are
    /// discarded.
    std::uint64_t Generation = 0;
    bool Running = false;
    bool Paused = false;
    std::vector<Datagram> BufferedDatagrams;
    std::vector<Datagram> Received;
  };

  void tick(const std::string &Name, std::uint64_t Generation);
  void deliver(const std::string &Name, const Datagram &Arrived);
  void send(const std::string &From, OutgoingMembershipMessages Sends);
  [[nodiscard]] bool canReach(const std::string &From, const Node &Sender,
                              const std::string &To,
                              const Node &Receiver) const;

  EventQueue &Queue;
  MembershipFleetOptions Options;
  RandomSource Random;
  std::map<std::string, Node> Nodes;
  std::set<std::pair<std::string, std::string>> BlockedLinks;
  MembershipTraffic Traffic;
  std::uint64_t LastGeneration = 0;
};

} // namespace turmericpitch
