// Fuzzes the decoders of all input that comes from other processes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpitch {

/// A decoder under test: its name, a corpus of valid inputs and the function to
/// call.
struct FuzzTarget {
  std::string Name;
  std::vector<std::string> Corpus;
  /// Decodes the input. Returns "" if the input was accepted, or rejected with
  /// a typed error that has a remedy; otherwise a description of the problem.
  std::string (*Decode)(const std::string &Input) = nullptr;
};

/// An input that a decoder handled incorrectly.
struct FuzzFinding {
  std::string Target;
  std::uint64_t Seed = 0;
  std::uint64_t Round = 0;
  std::string Problem;
  std::string Input;
};

/// Returns the decoders of the program. Thread-safe.
std::vector<FuzzTarget> fuzzTargets();

/// Runs Rounds mutated inputs against each target. The same seed gives the same
/// inputs. Thread-safe.
std::vector<FuzzFinding> runDecoderFuzz(const std::vector<FuzzTarget> &Targets,
                                        std::uint64_t Seed,
                                        std::uint64_t Rounds);

} // namespace turmericpitch
