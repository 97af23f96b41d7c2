// Benchmarks the cost of applying one ticket by number of databases.
#include "configuration/ConfigurationSnapshot.h"

#include <benchmark/benchmark.h>

namespace turmericpitch {
namespace {

Database makeDatabase(std::uint64_t Index, std::uint32_t Slots) {
  Database Created;
  Created.Id = DatabaseId{"database-" + std::to_string(Index)};
  Created.Slots = Slots;
  for (std::uint16_t Member = 0; Member < 3; ++Member)
    Created.Members.push_back(
        {.Id = UpstreamId{"member-" + std::to_string(Member)},
         .Where = {.Address = "127.0.0.1",
                   .Port = static_cast<std::uint16_t>(5000 + Member)},
         .Zone = ZoneId{"zone-" + std::to_string(Member)}});
  return Created;
}

ConfigurationSnapshot makeSnapshot(std::uint64_t Databases) {
  Ticket InitialTicket;
  InitialTicket.Id = TicketNumber{1};
  for (std::uint64_t Index = 0; Index < Databases; ++Index)
    InitialTicket.Databases.push_back(makeDatabase(Index, 3));
  return toOutcome(
             [&] { return ConfigurationSnapshot().withChange(InitialTicket); })
      .value();
}

void applyIncrementally(benchmark::State &State) {
  auto Databases = static_cast<std::uint64_t>(State.range(0));
  ConfigurationSnapshot Current = makeSnapshot(Databases);
  Ticket Change;
  Change.Id = TicketNumber{2};
  Change.Databases.push_back(makeDatabase(Databases / 2, 5));
  ConfigurationChange Stored =
      toOutcome([&] { return Current.withChange(Change); })
          .value()
          .changesAfter(TicketNumber{1});
  for (auto _ : State)
    benchmark::DoNotOptimize(
        toOutcome([&] { return Current.withChange(Stored); }));
}

void rebuildWhole(benchmark::State &State) {
  auto Records =
      makeSnapshot(static_cast<std::uint64_t>(State.range(0))).records();
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
