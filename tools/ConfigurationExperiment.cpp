// Measures in virtual time how long it takes until tickets are active on all
// instances. Arguments: instances, zones, loss in percent, seed, tickets.
#include "tools/ConfigurationNetwork.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <span>

namespace turmericpitch {
namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::size_t Percent = 100;

Ticket databaseTicket(std::uint64_t Number) {
  Ticket Created;
  Created.Id = TicketNumber{Number};
  Database Changed;
  Changed.Id = DatabaseId{"orders-" + std::to_string(Number % 10)};
  for (std::uint16_t Index = 0; Index < 3; ++Index)
    Changed.Members.push_back(
        {.Id = UpstreamId{"member-" + std::to_string(Index)},
         .Where = {.Address = "127.0.0.1",
                   .Port = static_cast<std::uint16_t>(5000 + Index)},
         .Zone = ZoneId{"zone-" + std::to_string(Index)}});
  Created.Databases.push_back(Changed);
  return Created;
}

/// Returns the quantile of the sorted values. Share is in percent.
double quantile(const std::vector<double> &Sorted, std::size_t Share) {
  return Sorted[std::min(Sorted.size() - 1, Sorted.size() * Share / Percent)];
}

void run(std::size_t Instances, std::size_t Zones, double Loss,
         std::uint64_t Seed, std::uint64_t Tickets) {
  ConfigurationNetworkOptions Options;
  Options.Instances = Instances;
  Options.Zones = Zones;
  Options.Loss = Loss;
  Options.Seed = Seed;
  ConfigurationNetwork Network(Options);
  std::vector<double> ApplySeconds;
  TimePoint SubmittedAt;
  Network.OnApplied = [&](std::size_t, TicketNumber) {
    Duration Elapsed = Network.Queue.now() - SubmittedAt;
    ApplySeconds.push_back(static_cast<double>(Elapsed.count()) /
                           MicrosecondsPerSecond);
  };
  Network.accept(databaseTicket(1));
  Network.startAll();
  Network.Queue.runUntil(TimePoint(std::chrono::seconds(20)));
  ApplySeconds.clear();
  ConfigurationTraffic Before = Network.traffic();
  std::uint64_t CallsBefore = Network.Store.counters().Reads;
  TimePoint StartedAt = Network.Queue.now();
  for (std::uint64_t Number = 2; Number < Tickets + 2; ++Number) {
    SubmittedAt = Network.Queue.now();
    // For every second ticket, the accepting instance fails before it notifies
    // any peer.
    ConfigurationChange Created = Network.accept(databaseTicket(Number));
    if (Number % 2 == 0)
      Network.notifyAccepted(Number % Instances, Created);
    Network.Queue.runUntil(SubmittedAt + std::chrono::seconds(4));
  }
  std::ranges::sort(ApplySeconds);
  double ElapsedSeconds =
      static_cast<double>((Network.Queue.now() - StartedAt).count()) /
      MicrosecondsPerSecond;
  double InstanceSeconds = ElapsedSeconds * static_cast<double>(Instances);
  ConfigurationTraffic After = Network.traffic();
  std::cout << "instances=" << Instances << " zones=" << Zones
            << " loss=" << Loss << " tickets=" << Tickets
            << " reached=" << ApplySeconds.size() << "/" << Instances * Tickets
            << " median_s=" << quantile(ApplySeconds, 50)
            << " p99_s=" << quantile(ApplySeconds, 99)
            << " max_s=" << ApplySeconds.back() << " datagrams_per_instance_s="
            << static_cast<double>(After.Datagrams - Before.Datagrams) /
                   InstanceSeconds
            << " sent_bytes_per_instance_s="
            << static_cast<double>(After.DatagramBytes + After.CopyBytes -
                                   Before.DatagramBytes - Before.CopyBytes) /
                   InstanceSeconds
            << " platform_reads_s="
            << (static_cast<double>(Network.Store.counters().Reads -
                                    CallsBefore) -
                static_cast<double>(Tickets)) /
                   ElapsedSeconds
            << "\n";
}

} // namespace
} // namespace turmericpitch

int main(int Count, char **Arguments) {
  std::span<char *> CommandLine(Arguments, static_cast<std::size_t>(Count));
  auto Number = [&](std::size_t Index, std::uint64_t Default) {
    return Index < CommandLine.size()
               ? std::strtoull(CommandLine[Index], nullptr, 10)
               : Default;
  };
  double Loss = static_cast<double>(Number(3, 0)) / 100.0;
  turmericpitch::run(Number(1, 50), Number(2, 18), Loss, Number(4, 1),
                     Number(5, 10));
  return 0;
}
