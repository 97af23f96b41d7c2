// Which member is a service's primary, as agreed in the platform's store.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/KeyValue.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericpitch {

/// Where all records of this kind are kept.
inline constexpr std::string_view PrimaryRecordPrefix =
    "turmericpitch/primary/";
/// Written with each step of a promotion, so that the steps of all services
/// have one order and their fencing tokens grow.
inline constexpr std::string_view PromoterKey =
    "turmericpitch/primary/promoter";

/// The step of a service's reign.
enum class PrimaryPhase : std::uint8_t {
  /// The primary may be used.
  Open,
  /// Nobody may begin to use the primary; no promotion was ordered yet.
  Closing,
  /// A promotion of Target may have been ordered.
  Ordered,
};

/// The phase's stable name, as stored and in the decision log. Thread-safe.
std::string_view toString(PrimaryPhase Phase);

/// One service's record. Immutable value.
struct PrimaryRecord {
  ServiceId Service;
  /// Counts the primaries of the service.
  std::uint64_t Epoch = 0;
  UpstreamId Primary;
  PrimaryPhase Phase = PrimaryPhase::Open;
  /// The member that was ordered to take over; empty before.
  UpstreamId Target = {};
  /// The instance that wrote the record.
  InstanceId Writer = {};
  /// Distinguishes the writer's attempts.
  std::uint64_t Attempt = 0;
  /// The store's revision of the record.
  Revision Stored = {};

  auto operator<=>(const PrimaryRecord &) const = default;
};

/// The key of a service's record. Thread-safe.
std::string primaryRecordKey(const ServiceId &Service);
/// The record as stored, without its revision. Thread-safe.
std::string encodePrimaryRecord(const PrimaryRecord &Record);
/// Thread-safe. Errors: BadRequest.
Result<PrimaryRecord> decodePrimaryRecord(const KeyValueEntry &Entry);

} // namespace turmericpitch
