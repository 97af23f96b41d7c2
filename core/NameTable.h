// Stable texts for the values of an enumeration.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace turmericpitch {

/// A value and its stable text.
template <typename Value> struct NamedValue {
  Value Each;
  std::string_view Text;
};

/// The texts of an enumeration's values.
template <typename Value, std::size_t Count>
using NameTable = std::array<NamedValue<Value>, Count>;

/// The value's text; "unknown" if the table lacks it. Thread-safe.
template <typename Value, std::size_t Count>
std::string_view findName(const NameTable<Value, Count> &Table, Value Wanted) {
  for (const NamedValue<Value> &Entry : Table)
    if (Entry.Each == Wanted)
      return Entry.Text;
  return "unknown";
}

/// The value with this text. Thread-safe.
template <typename Value, std::size_t Count>
std::optional<Value> findValue(const NameTable<Value, Count> &Table,
                               std::string_view Text) {
  for (const NamedValue<Value> &Entry : Table)
    if (Entry.Text == Text)
      return Entry.Each;
  return std::nullopt;
}

} // namespace turmericpitch
