// Checks the consistency guarantees during and after a load run.
#pragma once

#include "core/Error.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace turmericpitch {

/// Outcome of a write as reported to its caller.
enum class WriteOutcome { Acknowledged, NotRun, Unknown };

/// Returns the write outcome that an error implies. Thread-safe.
WriteOutcome toWriteOutcome(const Error &Failure);

/// A violation of a guarantee.
struct GuaranteeViolation {
  /// Stable name of the guarantee, for example "read_your_writes".
  std::string Guarantee;
  std::string Details;

  auto operator<=>(const GuaranteeViolation &) const = default;
};

/// A row returned by a scan: the key and the value stored under it.
struct StoredRow {
  std::string Key;
  std::string Value;
};

/// Records the outcomes reported to callers and checks later reads against
/// them. Thread-safe.
class LoadChecker {
public:
  /// Records the outcome of a write whose key is written at most once.
  void onWrite(const std::string &Key, WriteOutcome Outcome);

  /// Records that a session sent an increment of its own counter.
  void onSessionWriteBegun(const std::string &Key);
  void onSessionWriteEnded(const std::string &Key, WriteOutcome Outcome);
  /// Checks a value that a session read from its counter. 0 means that there
  /// was no row.
  void onSessionRead(const std::string &Key, std::uint64_t Value);
  /// Records that a session started over because a failover discarded state
  /// that it had read. Acknowledged writes must still be present.
  void onSessionRestarted(const std::string &Key);

  /// Records that Value was written to the shared catalogue key and
  /// acknowledged at Now.
  void onCatalogueWritten(std::uint64_t Value, TimePoint Now);
  /// Checks a catalogue read that was sent at SentAt and accepted data of at
  /// most MaxAge.
  void onCatalogueRead(std::uint64_t Value, TimePoint SentAt, Duration MaxAge);

  /// Records an answer that contained a row of a key other than the requested
  /// one.
  void onUnexpectedRow(const std::string &RequestedKey, const std::string &Row);

  /// Checks every key that is written at most once against the rows stored at
  /// the end. A value of "1" means that the write ran once.
  void checkStored(const std::vector<StoredRow> &Rows);

  [[nodiscard]] std::vector<GuaranteeViolation> violations() const;
  [[nodiscard]] std::size_t acknowledged() const;

private:
  struct SessionKey {
    std::uint64_t Acknowledged = 0;
    /// Writes that are acknowledged, in flight or of unknown outcome.
    std::uint64_t PossiblyRun = 0;
    std::uint64_t HighestRead = 0;
  };
  struct CatalogueWrite {
    TimePoint At;
    std::uint64_t Value = 0;
  };

  void report(std::string Guarantee, std::string Details);

  mutable std::mutex Mutex;
  std::map<std::string, WriteOutcome> Writes;
  std::map<std::string, SessionKey> Sessions;
  std::vector<CatalogueWrite> Catalogue;
  std::vector<GuaranteeViolation> Violations;
};

} // namespace turmericpitch
