// Simulates instances that divide one database's connections, in virtual time
// and over a network that loses, repeats and delays messages.
#pragma once

#include "core/EventQueue.h"
#include "core/RandomSource.h"
#include "limits/ConnectionShares.h"

#include <memory>
#include <set>

namespace turmericpitch {

struct ShareSimulationOptions {
  std::uint32_t Instances = 5;
  std::uint32_t Limit = 20;
  std::uint64_t Seed = 1;
  /// Probability that a copy of a message is lost.
  double Loss = 0;
  /// Probability that a message is sent twice.
  double Repeat = 0;
  Duration MinDelay = std::chrono::milliseconds(1);
  Duration MaxDelay = std::chrono::milliseconds(2);
  Duration Tick = std::chrono::milliseconds(100);
  /// Clock rates differ from true time by up to this fraction.
  double ClockRateSpread = 0;
};

/// Not thread-safe.
class ShareSimulation {
public:
  explicit ShareSimulation(ShareSimulationOptions Options);

  void setNeed(std::uint32_t Index, std::uint32_t Count);
  void stop(std::uint32_t Index);
  void restart(std::uint32_t Index);
  void pause(std::uint32_t Index, Duration Length);
  void setIsolated(std::uint32_t Index, bool Isolated);
  void run(Duration Length);

  /// Connections that an instance may use by its own clock; 0 if it is stopped.
  [[nodiscard]] std::uint32_t usable(std::uint32_t Index) const;
  [[nodiscard]] std::uint32_t total() const;
  /// The largest total after any event so far.
  [[nodiscard]] std::uint32_t largestTotal() const { return this->Largest; }
  [[nodiscard]] std::uint64_t messages() const { return this->Messages; }
  [[nodiscard]] const ConnectionShares &shares(std::uint32_t Index) const {
    return *this->Nodes[Index].Shares;
  }
  EventQueue Queue;

private:
  struct Node {
    std::unique_ptr<ConnectionShares> Shares;
    std::uint32_t Need = 0;
    double ClockRate = 1;
    TimePoint PausedUntil;
    bool Isolated = false;
  };

  static InstanceId nameOf(std::uint32_t Index);
  [[nodiscard]] TimePoint clockOf(const Node &Instance) const;
  void tick(std::uint32_t Index);
  void send(std::uint32_t From, const std::vector<ShareSend> &Sends);
  void deliver(std::uint32_t From, std::uint32_t To, ShareMessage Message);
  void check();

  ShareSimulationOptions Options;
  RandomSource Random;
  std::vector<Node> Nodes;
  std::uint64_t NextIncarnation = 1;
  std::uint32_t Largest = 0;
  std::uint64_t Messages = 0;
};

} // namespace turmericpitch
