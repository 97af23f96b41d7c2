// The platform's key-value service as an in-process object.
#pragma once

#include "core/KeyValue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

/// The faults that a test or an operator of the stand-in switches on.
struct KeyValueFaults {
  /// Every call fails before it has an effect.
  bool Outage = false;
  /// The next writes take effect, then their answers are lost.
  std::uint32_t LoseWriteAnswers = 0;
  /// Added to each answer by the program around the store.
  Duration Slowness{0};
};

/// The call rates the service takes; calls beyond them are refused.
struct KeyValueLimits {
  std::uint32_t WritesPerSecond = 300;
  std::uint32_t ReadsPerSecond = 2000;
  /// Largest value, bytes.
  std::size_t MaxValueSize = 1024 * 1024;
  /// Most compares, and most writes, in one transaction.
  std::size_t MaxOperations = 128;
};

/// Calls counted since the start.
struct KeyValueCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Refused = 0;
};

/// A revisioned store with compare-and-swap, leases and events, after the
/// etcd v3 API. Satisfies KeyValueService. Not thread-safe.
class KeyValueStore {
public:
  explicit KeyValueStore(KeyValueLimits Limits = {}) : Limits(Limits) {}

  /// Errors: Unavailable during an outage or beyond the limits (no effect),
  /// OutcomeUnknown when a write's answer is lost after its effect.
  Outcome<KeyValueAnswer> call(const KeyValueRequest &Request, TimePoint Now);

  /// The batches after a revision that touch keys beginning with Prefix,
  /// oldest first.
  [[nodiscard]] std::vector<WatchBatch> eventsAfter(const std::string &Prefix,
                                                    Revision After) const;
  /// Counts a waiting watch as one read. Errors: Unavailable during an
  /// outage or beyond the limits.
  Status admitWatch(TimePoint Now);
  /// Removes the keys of lapsed leases.
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
