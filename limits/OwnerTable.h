// The instances that own the shares of all limits.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/KeyValue.h"
#include "core/StoreEra.h"
#include "core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Key of the owner table in the store.
inline constexpr std::string_view OwnerTableKey = "turmericpitch/limits/owners";

/// The owners of equal shares that add up to one. Immutable value.
struct OwnerTable {
  /// Grows by one with each change; 0 means no table.
  std::uint64_t Epoch = 0;
  /// Sorted by name.
  std::vector<InstanceId> Owners;
  /// The owners in the table before this one.
  std::vector<InstanceId> PreviousOwners;
  /// The store's era in which this table was written. A table that is read in a
  /// later era is that of an older copy.
  StoreEra WrittenIn = {};

  bool operator==(const OwnerTable &) const = default;
};

/// The share of an instance among the owners; 0 if it is none of them.
/// Thread-safe.
double shareAmong(const std::vector<InstanceId> &Owners, const InstanceId &Id);

/// The value as stored. Thread-safe.
std::string encodeOwnerTable(const OwnerTable &Table);
/// Thread-safe. Errors: BadRequest if malformed.
Result<OwnerTable> decodeOwnerTable(const KeyValueEntry &Entry);

} // namespace turmericpitch
