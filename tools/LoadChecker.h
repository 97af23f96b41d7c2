// Checks during and after a load run that no promise was violations.
#pragma once

#include "core/Error.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace turmericpitch {

/// How a write ended for its caller.
enum class WriteOutcome { Acknowledged, NotRun, Unknown };

/// The outcome that an error stands for. Thread-safe.
WriteOutcome toWriteOutcome(const Error &Failure);

/// A promise that was violations.
struct GuaranteeViolation {
  /// Stable name, as in "read_your_writes".
  std::string Guarantee;
  std::string Details;

  auto operator<=>(const GuaranteeViolation &) const = default;
};

/// A row as a scan gives it: key, then what was written.
struct StoredRow {
  std::string Key;
  std::string Value;
};

/// Keeps what callers were told and compares it with what they read.
/// Thread-safe.
class LoadChecker {
public:
  /// A write of a key that is written at most once was answered.
  void onWrite(const std::string &Key, WriteOutcome Outcome);

  /// A session began to add one to a counter of its own.
  void onSessionWriteBegun(const std::string &Key);
  void onSessionWriteEnded(const std::string &Key, WriteOutcome Outcome);
  /// A session read its counter; 0 stands for no row.
  void onSessionRead(const std::string &Key, std::uint64_t Value);
  /// A session was told that a failover cut off what it had seen, and began
  /// anew; what was acknowledged must still be there.
  void onSessionRestarted(const std::string &Key);

  /// The shared catalogue key was written with Value, acknowledged at Now.
  void onCatalogueWritten(std::uint64_t Value, TimePoint Now);
  /// The catalogue was read by a request begun at SentAt that accepted an age
  /// of MaxAge.
  void onCatalogueRead(std::uint64_t Value, TimePoint SentAt, Duration MaxAge);

  /// An answer carried a row of another key than asked for.
  void onUnexpectedRow(const std::string &RequestedKey, const std::string &Row);

  /// Compares every written-once key with what is stored at the end; a value
  /// of "1" says that it ran once.
  void checkStored(const std::vector<StoredRow> &Rows);

  [[nodiscard]] std::vector<GuaranteeViolation> violations() const;
  [[nodiscard]] std::size_t acknowledged() const;

private:
  struct SessionKey {
    std::uint64_t Acknowledged = 0;
    /// Acknowledged, under way, or with an unknown outcome.
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
