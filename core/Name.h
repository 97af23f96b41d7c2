// Strongly typed names and numbers, so that, for example, a zone can't be
// passed where an upstream is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace turmericpitch {

/// A name of the type given by Tag; names with different tags can't be
/// compared. Must not be modified once stored, so that any thread may read it.
template <typename Tag> struct Name {
  std::string Value;

  auto operator<=>(const Name &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Value); }
};

/// A number of the type given by Tag; numbers with different tags can't be
/// compared.
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
