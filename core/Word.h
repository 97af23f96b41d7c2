// Names that can be sent as one word of a line and logged as they are.
#pragma once

#include <algorithm>
#include <string_view>

namespace turmericpitch {

/// Longest name that is accepted from records of other writers, in bytes; the
/// store's keys are no longer.
inline constexpr std::size_t MaxWordBytes = 200;

/// Whether a name is not empty, has at most MaxBytes, and consists of printable
/// ASCII characters other than the blank. Thread-safe.
inline bool isWord(std::string_view Name, std::size_t MaxBytes = MaxWordBytes) {
  return !Name.empty() && Name.size() <= MaxBytes &&
         std::ranges::all_of(Name, [](char Character) {
           return Character > ' ' && Character <= '~';
         });
}

} // namespace turmericpitch
