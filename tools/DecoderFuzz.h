// Feeds mutated input to everything that decodes what others send.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpitch {

/// A decoder under test: valid inputs to begin from, and the call.
struct FuzzTarget {
  std::string Name;
  std::vector<std::string> Corpus;
  /// Decodes the input. Returns "" if it was taken or refused with a typed
  /// error and a remedy, else what was wrong.
  std::string (*Decode)(const std::string &Input) = nullptr;
};

/// An input that a decoder handled wrongly.
struct FuzzFinding {
  std::string Target;
  std::uint64_t Seed = 0;
  std::uint64_t Round = 0;
  std::string Problem;
  std::string Input;
};

/// All decoders of the program. Thread-safe.
std::vector<FuzzTarget> fuzzTargets();

/// Runs Rounds mutations of each target's corpus; the same seed gives the
/// same inputs. Thread-safe.
std::vector<FuzzFinding> runDecoderFuzz(const std::vector<FuzzTarget> &Targets,
                                        std::uint64_t Seed,
                                        std::uint64_t Rounds);

} // namespace turmericpitch
