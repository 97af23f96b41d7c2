// In-process stand-in for the platform's key-value service.
#pragma once

#include "core/KeyValue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

/// Faults that a test or an operator of the stand-in injects.
struct KeyValueFaults {
  /// Every call fails without effect.
  bool Outage = false;
  /// How many of the following writes take effect although their replies are
  /// lost.
  std::uint32_t WriteAnswersToLose = 0;
  /// Latency that the calling code adds to each reply.
  Duration AddedLatency{0};
};

/// Limits of the service. Calls that exceed them are rejected.
struct KeyValueLimits {
  std::uint32_t WritesPerSecond = 300;
  std::uint32_t ReadsPerSecond = 2000;
  /// Maximum size of a value in bytes.
  std::size_t MaxValueSize = 1024 * 1024;
  /// Maximum number of compares, and of writes, in one transaction.
  std::size_t MaxOperations = 128;
};

/// Number of calls since the store was created.
struct KeyValueCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Refused = 0;
};

/// Key-value store with revisions, compare-and-swap transactions, leases and
/// watch events, modelled on the etcd v3 API. Satisfies KeyValueService. Not
/// thread-safe.
class KeyValueStore {
public:
  explicit KeyValueStore(KeyValueLimits Limits = {}) : Limits(Limits) {}

  /// Executes a call. Errors: Unavailable during an outage or if a rate limit
  /// is exceeded, BadRequest if the request is too large or writes a key twice
  /// (all without effect); OutcomeUnknown if a write took effect but its reply
  /// is lost.
  Outcome<KeyValueAnswer> call(const KeyValueRequest &Request, TimePoint Now);

  /// Returns the batches after a revision that change keys with the given
  /// prefix, oldest first.
  [[nodiscard]] std::vector<WatchBatch> eventsAfter(const std::string &Prefix,
                                                    Revision After) const;
  /// Counts a new watch as one read. Errors: Unavailable during an outage or
  /// if the read rate is exceeded.
  Status admitWatch(TimePoint Now);
  /// Removes expired leases and the keys attached to them.
  void expireLeases(TimePoint Now);

  [[nodiscard]] Revision revision() const { return this->Current; }
  [[nodiscard]] const KeyValueCounters &counters() const {
    return this->Counters;
  }
  KeyValueFaults &faults() { return this->Faults; }

private:
  struct Lease {
    std::chrono::seconds TimeToLive{0};
    TimePoint ExpiresAt;
  };
  struct StoredValue {
    std::string Value;
    Revision Modified;
    LeaseId AttachedLease;
  };
  struct RateWindow {
    std::int64_t Second = 0;
    std::uint32_t Used = 0;
  };

  bool admit(RateWindow &Window, std::uint32_t PerSecond, TimePoint Now);
  KeyValueAnswer range(const RangeRequest &Request) const;
  KeyValueAnswer transact(const TransactionRequest &Request);
  KeyValueAnswer grant(const LeaseGrantRequest &Request, TimePoint Now);
  KeyValueAnswer keepAlive(const LeaseKeepAliveRequest &Request, TimePoint Now);
  KeyValueAnswer revoke(const LeaseRevokeRequest &Request);
  void applyWrites(const std::vector<WriteOperation> &Writes);

  KeyValueLimits Limits;
  KeyValueFaults Faults;
  KeyValueCounters Counters;
  RateWindow WriteWindow;
  RateWindow ReadWindow;
  Revision Current;
  std::uint64_t NextLease = 1;
  std::map<std::string, StoredValue> Values;
  std::map<LeaseId, Lease> Leases;
  std::vector<WatchBatch> Log;
};

} // namespace turmericpitch
