// Simulates instances that disseminate configuration changes, in virtual time
// on one event queue.
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
  /// Fraction of datagrams dropped, from 0 to 1.
  double Loss = 0;
  std::uint64_t Seed = 1;
  DisseminationOptions InstanceOptions{};
};

/// Traffic of all instances together.
struct ConfigurationTraffic {
  std::uint64_t Datagrams = 0;
  std::uint64_t DatagramBytes = 0;
  std::uint64_t Copies = 0;
  std::uint64_t CopyBytes = 0;
};

/// Drives Dissemination in virtual time in the same way as the daemon's driver.
/// Meant for tests with a few instances and for experiments. Not thread-safe.
class ConfigurationNetwork {
public:
  explicit ConfigurationNetwork(ConfigurationNetworkOptions Options);

  void start(std::size_t Index);
  void startAll();
  /// Ends the process of an instance. Its in-memory state is lost.
  void kill(std::size_t Index);
  /// Pauses an instance. Events that arrive meanwhile are queued until
  /// resume().
  void pause(std::size_t Index);
  void resume(std::size_t Index);
  /// Drops all traffic between a zone and the other zones.
  void isolateZone(std::size_t Zone) { this->IsolatedZones.insert(Zone); }
  void reconnectZone(std::size_t Zone) { this->IsolatedZones.erase(Zone); }
  /// Makes the platform unreachable from a zone.
  void blockPlatform(std::size_t Zone) {
    this->ZonesWithoutPlatform.insert(Zone);
  }
  void unblockPlatform(std::size_t Zone) {
    this->ZonesWithoutPlatform.erase(Zone);
  }

  /// Writes a ticket to the platform's store. Precondition: the store has no
  /// outage.
  ConfigurationChange accept(const Ticket &Change);
  /// Notifies an instance that the ticket it submitted was accepted.
  void notifyAccepted(std::size_t Index, const ConfigurationChange &Change);
  /// Makes an instance query all its peers for their active ticket.
  void requestAllReports(std::size_t Index);

  [[nodiscard]] std::size_t zoneOf(std::size_t Index) const {
    return Index % this->Options.Zones;
  }
  /// Returns whether the instance is one of the platform readers of its zone.
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
  /// Called when a newer ticket becomes active on an instance.
  std::function<void(std::size_t, TicketNumber)> OnApplied;

private:
  struct Node {
    std::unique_ptr<ConfigurationController> Controller;
    std::unique_ptr<Dissemination> Protocol;
    /// Incremented at each start and end, so that events scheduled for an
    /// earlier process are discarded.
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
  /// Runs Work after a delay. Work is discarded if the instance has ended by
  /// then, and queued while the instance is paused.
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
