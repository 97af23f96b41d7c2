// Strongly typed names and numbers, so that a zone can't be passed as an
// upstream.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace turmericpitch {

/// A name of one sort of thing; names of different tags never compare.
/// Immutable by convention once stored; safe to read from any thread.
template <typename Tag> struct Name {
  std::string Value;

  auto operator<=>(const Name &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Value); }
};

/// A counter of one sort; counters of different tags never compare.
template <typename Tag> struct Number {
  std::uint64_t Value = 0;

  auto operator<=>(const Number &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Value); }
};

} // namespace turmericpitch

template <typename Tag> struct std::hash<turmericpitch::Name<Tag>> {
  std::size_t operator()(const turmericpitch::Name<Tag> &Key) const noexcept {
    return std::hash<std::string>{}(Key.Value);
  }
};

template <typename Tag> struct std::hash<turmericpitch::Number<Tag>> {
  std::size_t operator()(turmericpitch::Number<Tag> Key) const noexcept {
    return std::hash<std::uint64_t>{}(Key.Value);
  }
};
