// The record in the platform's store that names the primary of a service.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/KeyValue.h"
#include "core/LogPosition.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Prefix of the keys of all primary records.
inline constexpr std::string_view PrimaryRecordPrefix =
    "turmericpitch/primary/";
/// Written with each step of a promotion, so that the steps of all services are
/// totally ordered and their fencing tokens increase.
inline constexpr std::string_view PromoterKey =
    "turmericpitch/primary/promoter";

/// The phase of a service's epoch.
enum class PrimaryPhase : std::uint8_t {
  /// The primary may be used.
  Open,
  /// No instance may begin to use the primary; no promotion has been requested
  /// yet.
  Closing,
  /// A promotion of Target may have been requested.
  Ordered,
};

/// The stable name, as stored and in the decision log. Thread-safe.
std::string_view toString(PrimaryPhase Phase);

/// One service's record. Immutable value.
struct PrimaryRecord {
  ServiceId Service;
  /// Increases with each promotion in the service.
  std::uint64_t Epoch = 0;
  UpstreamId Primary;
  PrimaryPhase Phase = PrimaryPhase::Open;
  /// The member whose promotion was requested; empty before.
  UpstreamId Target = {};
  /// The instance that wrote the record.
  InstanceId Writer = {};
  /// Distinguishes the writer's attempts.
  std::uint64_t Attempt = 0;
  /// While it isn't open: the revision of the open record that was closed.
  Revision ClosedFrom = {};
  /// The newest term that was known to have begun when the record was opened
  /// or, since, a promotion was requested; 0 if none was known, as in records
  /// of earlier versions.
  Term KnownTerm = {};
  /// Where the newest terms began in the log, oldest first; what an older log
  /// holds beyond was discarded. Empty if that isn't known, as in records of
  /// earlier versions.
  std::vector<TermStart> TermStarts = {};
  /// The revision of the record in the store.
  Revision Stored = {};

  auto operator<=>(const PrimaryRecord &) const = default;
};

/// The epoch of a record that is written where there is none, or none that can
/// be read, as the store showed at ListedAt. Above all epochs that the service
/// may have had before: each of them began with a write of its own. So
/// positions and leases of an earlier record can't be taken for those of this
/// one. Thread-safe.
std::uint64_t firstEpoch(Revision ListedAt);

/// Starts with one more term that began with a promotion. Starts that the
/// promoted log lacks are left out, and the oldest ones beyond MaxTermStarts.
/// Pure; thread-safe.
std::vector<TermStart> withTermStart(std::vector<TermStart> Starts,
                                     const TermStart &Next);
inline constexpr std::size_t MaxTermStarts = 8;
/// Whether a log with this last entry holds entries that the promotion to a
/// newer term has discarded. Pure; thread-safe.
bool endsDiscarded(std::span<const TermStart> Starts, const TermPosition &End);

/// The key of a service's record. Thread-safe.
std::string primaryRecordKey(const ServiceId &Service);
/// The service whose record a key holds; nothing for another key. Thread-safe.
std::optional<ServiceId> serviceOfRecordKey(std::string_view Key);
/// The record as stored, without its revision. Thread-safe.
std::string encodePrimaryRecord(const PrimaryRecord &Record);
/// Decodes a stored record. Thread-safe. Errors: BadRequest.
Result<PrimaryRecord> decodePrimaryRecord(const KeyValueEntry &Entry);

} // namespace turmericpitch
