// Typed requests and answers of the platform's key-value service, modelled on
// the etcd v3 API.
#pragma once

#include "core/Error.h"
#include "core/Name.h"

#include <string>
#include <variant>
#include <vector>

namespace turmericpitch {

/// A revision of the whole key-value store; increases with every write.
using Revision = Number<struct RevisionTag>;
/// A lease of the key-value service.
using LeaseId = Number<struct LeaseTag>;

/// One key with its value.
struct KeyValueEntry {
  std::string Key;
  std::string Value;
  /// The revision of the last write to the key.
  Revision Modified = {};

  auto operator<=>(const KeyValueEntry &) const = default;
};

/// Reads one key, or all keys that have Key as a prefix.
struct RangeRequest {
  std::string Key;
  bool Prefix = false;
  /// Return only entries last written at this revision or later.
  Revision ModifiedSince{};
};

/// Requires that the last write to Key had revision Modified; revision 0 means
/// that the key does not exist.
struct ModifiedCompare {
  std::string Key;
  Revision Modified;
};

/// Writes one key.
struct PutOperation {
  std::string Key;
  std::string Value;
  /// The lease whose expiry removes the key; 0 for none.
  LeaseId Lease;
};

/// Removes one key.
struct DeleteOperation {
  std::string Key;
};

using WriteOperation = std::variant<PutOperation, DeleteOperation>;

/// Executes all of Writes atomically if all of Compares hold, otherwise none.
struct TransactionRequest {
  std::vector<ModifiedCompare> Compares;
  std::vector<WriteOperation> Writes;
};

struct LeaseGrantRequest {
  std::chrono::seconds TimeToLive{0};
};
struct LeaseKeepAliveRequest {
  LeaseId Lease;
};
struct LeaseRevokeRequest {
  LeaseId Lease;
};

using KeyValueRequest =
    std::variant<RangeRequest, TransactionRequest, LeaseGrantRequest,
                 LeaseKeepAliveRequest, LeaseRevokeRequest>;

/// The answer to any request; fields that do not apply to it are empty.
struct KeyValueAnswer {
  /// The revision of the store at the time of the answer.
  Revision StoreRevision;
  /// For a range: the entries in key order.
  std::vector<KeyValueEntry> Entries;
  /// For a transaction: whether all compares held.
  bool Succeeded = true;
  /// For a lease grant or keep-alive; a time to live of 0 means that the lease
  /// has expired.
  LeaseId Lease;
  std::chrono::seconds TimeToLive{0};
};

/// A change reported by a watch.
struct WatchEvent {
  KeyValueEntry Entry;
  bool Deleted = false;
};

/// All events of one revision.
struct WatchBatch {
  Revision StoreRevision;
  std::vector<WatchEvent> Events;
};

/// A key-value service with synchronous calls, such as an in-process store.
/// Errors: Unavailable if the request did not run, OutcomeUnknown if the answer
/// to a write was lost.
template <typename T>
concept KeyValueService = requires(T &Service, const KeyValueRequest &Request,
                                   TimePoint Now) {
  { Service.call(Request, Now) } -> std::same_as<Outcome<KeyValueAnswer>>;
};

} // namespace turmericpitch
