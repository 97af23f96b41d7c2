// Runs the decoder fuzzer from the command line. Usage: DecoderFuzzExperiment
// [SEED [ROUNDS]].

#include "tools/DecoderFuzz.h"

#include <cstdlib>
#include <iostream>

int main(int Count, char **Arguments) {
  constexpr std::uint64_t DefaultRounds = 100'000;
  constexpr int Base = 10;
  std::uint64_t Seed =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, Base) : 1;
  std::uint64_t Rounds =
      Count > 2 ? std::strtoull(Arguments[2], nullptr, Base) : DefaultRounds;
  auto Targets = turmericpitch::fuzzTargets();
  auto Findings = turmericpitch::runDecoderFuzz(Targets, Seed, Rounds);
  for (const auto &Finding : Findings)
    std::cout << Finding.Target << " seed " << Finding.Seed << " round "
              << Finding.Round << ": " << Finding.Problem << "\n";
  std::cout << Targets.size() << " decoders, " << Rounds << " rounds each, "
            << Findings.size() << " findings\n";
  return Findings.empty() ? 0 : 1;
}
