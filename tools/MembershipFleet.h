// Membership protocols over one event queue, for scenarios and experiments.
#pragma once

#include "core/EventQueue.h"
#include "membership/MembershipProtocol.h"

#include <functional>
#include <memory>

namespace turmericpitch {

struct MembershipFleetOptions {
  /// Self, IncarnationNumber and Seeds are set for each instance.
  MembershipOptions Protocol;
  Duration DelayWithinZone = std::chrono::microseconds(300);
  Duration DelayAcrossZones = std::chrono::microseconds(1500);
  /// Share of datagrams lost.
  double Loss = 0;
  std::uint64_t Seed = 1;
  /// Sends real bytes through the codec, or else only counts them.
  bool Encode = true;
};

/// Datagrams and bytes sent, UDP and IP heads included.
struct MembershipTraffic {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

/// Instances that exchange messages in virtual time. Not thread-safe.
class MembershipFleet {
public:
  MembershipFleet(EventQueue &Queue, MembershipFleetOptions Options);

  /// Starts an instance; one of the same name that ran is replaced.
  void start(const std::string &Name, const std::string &Zone,
             const std::vector<std::string> &Seeds);
  /// Makes all instances know these at once.
  void teach(const std::vector<InstanceRecord> &Records);
  void kill(const std::string &Name);
  void pause(const std::string &Name);
  void resume(const std::string &Name);
  void beginLeaving(const std::string &Name);
  /// Tells peers, then ends.
  void depart(const std::string &Name);
  /// Hands a platform list to one instance.
  void list(const std::string &Name, const std::vector<PlatformInstance> &List);
  /// Whether From's datagrams reach To; both are names of instances or zones.
  void setCut(const std::string &From, const std::string &To, bool Cut);
  void setLoss(double Share) { this->Options.Loss = Share; }
  /// Hands the last Count datagrams that Name received to it again.
  void replay(const std::string &Name, std::size_t Count);

  [[nodiscard]] bool runs(const std::string &Name) const;
  /// Precondition: an instance of that name was started.
  [[nodiscard]] const MembershipProtocol &at(const std::string &Name) const;
  [[nodiscard]] MembershipSnapshot believedBy(const std::string &Name) const;
  [[nodiscard]] std::vector<std::string> names() const;
  [[nodiscard]] MembershipTraffic traffic() const { return this->Traffic; }
  [[nodiscard]] static Endpoint endpointOf(const std::string &Name);
  [[nodiscard]] PlatformInstance listed(const std::string &Name, bool Leaving,
                                        std::uint64_t Since) const;
  /// The wall clock of a moment, in milliseconds.
  [[nodiscard]] static std::uint64_t wallClock(TimePoint At);

private:
  struct Datagram {
    InstanceId From;
    MembershipMessage Message;
  };
  struct Node {
    std::string Zone;
    std::unique_ptr<MembershipProtocol> Protocol;
    /// Differs with each start, so that timers of earlier ones end.
    std::uint64_t Start = 0;
    bool Running = false;
    bool Paused = false;
    std::vector<Datagram> Waiting;
    std::vector<Datagram> Received;
  };

  void tick(const std::string &Name, std::uint64_t Start);
  void deliver(const std::string &Name, const Datagram &Arrived);
  void send(const std::string &From, OutgoingMembershipMessages Sends);
  [[nodiscard]] bool reaches(const std::string &From, const Node &Sender,
                             const std::string &To, const Node &Receiver) const;

  EventQueue &Queue;
  MembershipFleetOptions Options;
  RandomSource Random;
  std::map<std::string, Node> Nodes;
  std::set<std::pair<std::string, std::string>> Cuts;
  MembershipTraffic Traffic;
  std::uint64_t Starts = 0;
};

} // namespace turmericpitch
