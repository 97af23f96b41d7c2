// Conversion between the values of an enumeration and their stable names.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace turmericpitch {

/// A value and its stable name.
template <typename Value> struct NamedValue {
  Value Constant;
  std::string_view Text;
};

/// The names of an enumeration's values.
template <typename Value, std::size_t Count>
using NameTable = std::array<NamedValue<Value>, Count>;

/// The name of Wanted, or "unknown" if the table does not contain it.
/// Thread-safe.
template <typename Value, std::size_t Count>
std::string_view findName(const NameTable<Value, Count> &Table, Value Wanted) {
  for (const NamedValue<Value> &Entry : Table)
    if (Entry.Constant == Wanted)
      return Entry.Text;
  return "unknown";
}

/// The value named Text, or nothing. Thread-safe.
template <typename Value, std::size_t Count>
std::optional<Value> findValue(const NameTable<Value, Count> &Table,
                               std::string_view Text) {
  for (const NamedValue<Value> &Entry : Table)
    if (Entry.Text == Text)
      return Entry.Constant;
  return std::nullopt;
}

} // namespace turmericpitch
