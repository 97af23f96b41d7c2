// Plan of a load run: fleet size, mix of operations, length and faults.
#pragma once

#include "core/Error.h"
#include "tools/EmbeddedFleet.h"

namespace turmericpitch {

/// Mix of operations of the load sessions, as relative weights.
struct LoadMix {
  /// Writes of a new key each, with an idempotency key.
  std::uint32_t Bookings = 30;
  /// Writes that must not be repeated, without an idempotency key.
  std::uint32_t Dispatches = 10;
  /// Reads that must see the session's own writes.
  std::uint32_t SessionReads = 40;
  /// Reads with bounded staleness.
  std::uint32_t CatalogueReads = 20;

  bool operator==(const LoadMix &) const = default;
};

enum class LoadFaultKind {
  CrashPrimary,
  PausePrimary,
  ResumeMembers,
  LagReplicas,
  CrashInstance,
  DrainInstance,
  StartInstance,
  PlatformOutage,
  PlatformRecovery,
};

/// Returns the kind's stable name in plans and reports. Thread-safe.
std::string_view toString(LoadFaultKind Kind);

/// One scheduled fault.
struct LoadFault {
  /// Time after the start of the load.
  Duration StartsAt{0};
  LoadFaultKind Kind = LoadFaultKind::CrashPrimary;
  /// Index of the database, from 0, for member faults.
  std::size_t Database = 0;
  /// Index of the instance, from 0, for instance faults.
  std::size_t Instance = 0;
  /// Replication lag, for LagReplicas.
  Duration Lag{0};

  bool operator==(const LoadFault &) const = default;
};

/// A complete load run.
struct LoadPlan {
  std::string Name;
  FleetOptions Fleet;
  std::uint64_t Seed = 1;
  Duration Length = std::chrono::seconds(10);
  /// Arrivals per second over all instances, independent of the answers (open
  /// loop).
  std::uint32_t ArrivalRate = 200;
  std::uint32_t Sessions = 50;
  Duration MaxCatalogueAge = std::chrono::seconds(1);
  Duration Deadline = std::chrono::seconds(5);
  LoadMix Mix;
  std::vector<LoadFault> Faults;
};

/// Parses and validates a plan in YAML. Thread-safe. Errors: BadRequest that
/// lists every problem with file, line, key and remedy.
Result<LoadPlan> parseLoadPlan(std::string_view Text, const std::string &File);

} // namespace turmericpitch
