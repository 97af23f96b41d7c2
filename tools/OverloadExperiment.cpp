// Measures goodput and latency under overload: connection shares by demand
// against a static split, with and without early shedding. Seeded, in virtual
// time.
#include "tools/OverloadModel.h"

#include <array>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>

namespace turmericpitch {

namespace {

constexpr std::array<double, 4> Loads{0.5, 1, 2, 5};

/// A workload of one of the users.
struct Workload {
  const char *Name;
  OverloadOptions Options;
};

std::vector<Workload> workloads(std::uint64_t Seed) {
  using std::chrono::milliseconds;
  OverloadOptions Sabarmati{.Seed = Seed};
  OverloadOptions Chechia{.Instances = 4,
                          .Connections = 60,
                          .Slots = 5,
                          .OneWayDelay = milliseconds(1),
                          .Seed = Seed};
  std::vector<Workload> All{{"sabarmati statements", Sabarmati},
                            {"chechia statements", Chechia}};
  Sabarmati.TransactionHoldTime = milliseconds(20);
  All.push_back({"sabarmati transactions", Sabarmati});
  std::vector<Workload> Hot = All;
  for (Workload &Each : Hot)
    Each.Options.HotAccountShare = 0.8;
  All.insert(All.end(), Hot.begin(), Hot.end());
  return All;
}

double inMilliseconds(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

void printRow(const OverloadOptions &Options) {
  OverloadResult Result = runOverload(Options);
  std::cout << "| " << (Options.DemandShares ? "demand" : "static") << " | "
            << (Options.AdmissionControl ? "shed early"
                                         : "first come, first served")
            << " | " << Options.Load << " | " << Result.Goodput << " | "
            << 100 * Result.Goodput / Options.capacity() << " | "
            << 100 * Result.BackgroundGoodput / Result.BackgroundOffered
            << " | " << inMilliseconds(Result.Median) << " | "
            << inMilliseconds(Result.P99) << " | "
            << inMilliseconds(Result.RefusalP99) << " | "
            << Result.MaxOpenConnections << " | " << Result.Messages << " |\n";
}

void printWorkload(const Workload &Each) {
  std::cout
      << "\n"
      << Each.Name << ", hot account share " << Each.Options.HotAccountShare
      << ", capacity " << Each.Options.capacity() << "/s\n\n"
      << "| shares | queue | load | goodput/s | % of capacity | "
         "% of other accounts served | p50 ms | p99 ms | refusal p99 ms | "
         "max open connections | messages/s |\n"
      << "|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (bool Demand : {false, true})
    for (bool AdmissionControl : {false, true})
      for (double Load : Loads) {
        OverloadOptions Options = Each.Options;
        Options.DemandShares = Demand;
        Options.AdmissionControl = AdmissionControl;
        Options.Load = Load;
        printRow(Options);
      }
}

int runExperiment(int Count, char **Arguments) {
  cxxopts::Options Options("OverloadExperiment",
                           "Goodput under overload, in virtual time");
  Options.add_options()("seed", "Seed of all randomness",
                        cxxopts::value<std::uint64_t>()->default_value("1"));
  auto Parsed = Options.parse(Count, Arguments);
  std::cout << std::fixed << std::setprecision(1);
  for (const Workload &Each : workloads(Parsed["seed"].as<std::uint64_t>()))
    printWorkload(Each);
  return 0;
}

} // namespace

} // namespace turmericpitch

int main(int Count, char **Arguments) {
  return turmericpitch::runExperiment(Count, Arguments);
}
