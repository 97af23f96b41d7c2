// Instances that spread configuration changes over one event queue.
#pragma once

#include "configuration/Dissemination.h"
#include "core/EventQueue.h"
#include "stand_ins/KeyValueStore.h"

#include <functional>
#include <set>

namespace turmericpitch {

struct ConfigurationNetworkOptions {
  std::size_t Instances = 5;
  std::size_t Zones = 1;
  std::size_t ZonesPerRegion = 3;
  Duration IntraRegionDelay = std::chrono::microseconds(1500);
  Duration InterRegionDelay = std::chrono::milliseconds(40);
  Duration PlatformDelay = std::chrono::milliseconds(2);
  /// Share of datagrams dropped.
  double Loss = 0;
  std::uint64_t Seed = 1;
  DisseminationOptions InstanceOptions{};
};

/// What all instances together have done.
struct ConfigurationTraffic {
  std::uint64_t Datagrams = 0;
  std::uint64_t DatagramBytes = 0;
  std::uint64_t Copies = 0;
  std::uint64_t CopyBytes = 0;
};

/// Drives Dissemination as the daemon's driver does, in virtual time. For
/// tests with a handful of instances and for experiments. Not thread-safe.
class ConfigurationNetwork {
public:
  explicit ConfigurationNetwork(ConfigurationNetworkOptions Options);

  void start(std::size_t Index);
  void startAll();
  /// The process ends; what it knew is gone.
  void kill(std::size_t Index);
  /// While paused, whatever arrives waits.
  void pause(std::size_t Index);
  void resume(std::size_t Index);
  /// Cuts a zone off from all others.
  void isolateZone(std::size_t Zone) { this->IsolatedZones.insert(Zone); }
  void reconnectZone(std::size_t Zone) { this->IsolatedZones.erase(Zone); }
  /// Cuts a zone off from the platform.
  void blockPlatform(std::size_t Zone) {
    this->ZonesWithoutPlatform.insert(Zone);
  }
  void unblockPlatform(std::size_t Zone) {
    this->ZonesWithoutPlatform.erase(Zone);
  }

  /// Accepts a ticket in the platform. Precondition: no outage.
  ConfigurationChange accept(const Ticket &Change);
  /// Tells an instance that it accepted the ticket.
  void notifyAccepted(std::size_t Index, const ConfigurationChange &Change);
  /// Asks all peers of an instance on what they run.
  void requestAllReports(std::size_t Index);

  [[nodiscard]] std::size_t zoneOf(std::size_t Index) const {
    return Index % this->Options.Zones;
  }
  /// Whether it is one of its zone's readers of the platform.
  [[nodiscard]] bool readsPlatform(std::size_t Index) const;
  [[nodiscard]] TicketNumber activeTicket(std::size_t Index) const;
  [[nodiscard]] SharedConfiguration configuration(std::size_t Index) const;
  [[nodiscard]] const Dissemination &instance(std::size_t Index) const {
    return *this->Nodes[Index].Protocol;
  }
  [[nodiscard]] const std::vector<Error> &warnings() const {
    return this->Warnings;
  }
  [[nodiscard]] const ConfigurationTraffic &traffic() const {
    return this->Traffic;
  }

  EventQueue Queue;
  KeyValueStore Store;
  /// Called when an instance runs a later ticket.
  std::function<void(std::size_t, TicketNumber)> OnApplied;

private:
  struct Node {
    std::unique_ptr<ConfigurationController> Controller;
    std::unique_ptr<Dissemination> Protocol;
    /// Grows with each start and end, so that old events find nobody.
    std::uint64_t Generation = 0;
    bool Paused = false;
    std::vector<std::function<void()>> PendingWork;
  };

  void executeAll(std::size_t Index, DisseminationActions Actions);
  void execute(std::size_t Index, const SendToPeer &Send);
  void execute(std::size_t Index, const ReadPlatform &Read);
  void execute(std::size_t Index, const FetchCopy &Fetch);
  void execute(std::size_t Index, const TicketApplied &Applied);
  void execute(std::size_t Index, const DisseminationWarning &Warning);
  void scheduleTick(std::size_t Index);
  /// Runs Work after a delay, unless the instance has ended; holds it while
  /// the instance is paused.
  void deliver(std::size_t Index, Duration Delay, std::function<void()> Work);
  [[nodiscard]] bool connected(std::size_t Left, std::size_t Right) const;
  [[nodiscard]] Duration delayBetween(std::size_t Left,
                                      std::size_t Right) const;
  [[nodiscard]] ConfigurationPeer peer(std::size_t Index) const;

  ConfigurationNetworkOptions Options;
  RandomSource Random;
  SharedPeerDirectory Peers;
  std::vector<Node> Nodes;
  std::set<std::size_t> IsolatedZones;
  std::set<std::size_t> ZonesWithoutPlatform;
  SharedConfiguration Accepted;
  std::vector<Error> Warnings;
  ConfigurationTraffic Traffic;
};

} // namespace turmericpitch
