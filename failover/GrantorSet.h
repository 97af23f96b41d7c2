// The instances that grant extensions of leases while the store is away.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/StoreEra.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// The key of the grantor set. Below the prefix of the primary records and
/// before them in key order, so that a listing of the records reads it first.
inline constexpr std::string_view GrantorsKey =
    "turmericpitch/primary/grantors";

/// One instance of the set. An instance that restarts remains the same grantor;
/// one at another address is not.
struct Grantor {
  InstanceId Id;
  Endpoint PeerEndpoint;

  auto operator<=>(const Grantor &) const = default;
};

/// The set as stored. Immutable value.
struct GrantorSet {
  std::vector<Grantor> Current = {};
  /// The set before. Reads that are still in use may have shown it, so closing
  /// a record needs a majority of each.
  std::vector<Grantor> Previous = {};
  /// The era for which the primary records have been verified. In a later era,
  /// the records are those of an older copy and found no lease.
  StoreEra VerifiedEra = {};
  /// The revision of the set in the store; 0 if there is none.
  Revision Stored = {};

  auto operator<=>(const GrantorSet &) const = default;

  /// All grantors of both sets.
  [[nodiscard]] std::set<Grantor> all() const;
  /// Whether Answered holds a majority of the current set; never if it is
  /// empty.
  [[nodiscard]] bool hasQuorum(const std::set<Grantor> &Answered) const;
  /// Whether Answered holds a majority of each set that isn't empty.
  [[nodiscard]] bool hasQuorumOfEach(const std::set<Grantor> &Answered) const;
};

/// The value as stored, without its revision. Thread-safe.
std::string encodeGrantorSet(const GrantorSet &Set);
/// Thread-safe. Errors: BadRequest if malformed.
Result<GrantorSet> decodeGrantorSet(const KeyValueEntry &Entry);

} // namespace turmericpitch
