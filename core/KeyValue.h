// The platform's key-value service as decisions see it: typed requests and
// answers after the etcd v3 API.
#pragma once

#include "core/Error.h"
#include "core/Name.h"

#include <string>
#include <variant>
#include <vector>

namespace turmericpitch {

/// A revision of the whole key-value store; grows with every write.
using Revision = Number<struct RevisionTag>;
/// A lease of the key-value service.
using LeaseId = Number<struct LeaseTag>;

/// One key with its value.
struct KeyValueEntry {
  std::string Key;
  std::string Value;
  /// The revision that last wrote the key.
  Revision Modified = {};

  auto operator<=>(const KeyValueEntry &) const = default;
};

/// Reads one key, or all keys that begin with it.
struct RangeRequest {
  std::string Key;
  bool Prefix = false;
  /// Only entries last written at this revision or later.
  Revision ModifiedSince{};
};

/// Requires that Key was last written at Modified; revision 0 means absent.
struct ModifiedCompare {
  std::string Key;
  Revision Modified;
};

/// Writes one key.
struct PutOperation {
  std::string Key;
  std::string Value;
  /// The lease that removes the key when it lapses; 0 for none.
  LeaseId Lease;
};

/// Removes one key.
struct DeleteOperation {
  std::string Key;
};

using WriteOperation = std::variant<PutOperation, DeleteOperation>;

/// Runs all of Writes if all of Compares hold, else nothing.
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

/// The answer to any request; fields that do not apply stay empty.
struct KeyValueAnswer {
  /// The store's revision when it answered.
  Revision StoreRevision;
  /// For a range: the entries in key order.
  std::vector<KeyValueEntry> Entries;
  /// For a transaction: whether the compares held.
  bool Succeeded = true;
  /// For a lease grant or keep-alive; a time to live of 0 means lapsed.
  LeaseId Lease;
  std::chrono::seconds TimeToLive{0};
};

/// A change seen by a watch.
struct WatchEvent {
  KeyValueEntry Entry;
  bool Deleted = false;
};

/// The events of one revision, whole.
struct WatchBatch {
  Revision StoreRevision;
  std::vector<WatchEvent> Events;
};

/// A key-value service that can be called at once, as an in-process object
/// can; errors are Unavailable (not run) or OutcomeUnknown (a write's answer
/// was lost).
template <typename T>
concept KeyValueService = requires(T &Service, const KeyValueRequest &Request,
                                   TimePoint Now) {
  { Service.call(Request, Now) } -> std::same_as<Outcome<KeyValueAnswer>>;
};

} // namespace turmericpitch
