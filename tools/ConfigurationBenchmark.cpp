// Cost of applying one ticket against the number of databases.
#include "configuration/ConfigurationSnapshot.h"

#include <benchmark/benchmark.h>

namespace turmericpitch {
namespace {

Database makeDatabase(std::uint64_t Index, std::uint32_t Slots) {
  Database Made;
  Made.Id = DatabaseId{"database-" + std::to_string(Index)};
  Made.Slots = Slots;
  for (std::uint16_t Member = 0; Member < 3; ++Member)
    Made.Members.push_back(
        {.Id = UpstreamId{"member-" + std::to_string(Member)},
         .Where = {.Address = "127.0.0.1",
                   .Port = static_cast<std::uint16_t>(5000 + Member)},
         .Zone = ZoneId{"zone-" + std::to_string(Member)}});
  return Made;
}

ConfigurationSnapshot wholeOf(std::uint64_t Databases) {
  Ticket First;
  First.Id = TicketNumber{1};
  for (std::uint64_t Index = 0; Index < Databases; ++Index)
    First.Databases.push_back(makeDatabase(Index, 3));
  return toOutcome([&] { return ConfigurationSnapshot().withChange(First); })
      .value();
}

void applyIncrementally(benchmark::State &State) {
  auto Databases = static_cast<std::uint64_t>(State.range(0));
  ConfigurationSnapshot Present = wholeOf(Databases);
  Ticket Change;
  Change.Id = TicketNumber{2};
  Change.Databases.push_back(makeDatabase(Databases / 2, 5));
  ConfigurationChange Stored =
      toOutcome([&] { return Present.withChange(Change); })
          .value()
          .changesAfter(TicketNumber{1});
  for (auto _ : State)
    benchmark::DoNotOptimize(
        toOutcome([&] { return Present.withChange(Stored); }));
}

void rebuildWhole(benchmark::State &State) {
  auto Records = wholeOf(static_cast<std::uint64_t>(State.range(0))).records();
  for (auto _ : State)
    benchmark::DoNotOptimize(toOutcome([&] {
      return ConfigurationSnapshot::build(Revision{2}, TicketNumber{2},
                                          Records);
    }));
}

} // namespace
} // namespace turmericpitch

BENCHMARK(turmericpitch::applyIncrementally)
    ->Arg(83)
    ->Arg(830)
    ->Arg(8300)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(turmericpitch::rebuildWhole)
    ->Arg(83)
    ->Arg(830)
    ->Arg(8300)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
