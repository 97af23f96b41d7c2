// What a load run does: sizes, mix, length and faults.
#pragma once

#include "core/Error.h"
#include "tools/EmbeddedFleet.h"

namespace turmericpitch {

/// What a load session does; shares are relative weights.
struct LoadMix {
  /// Writes of a key of their own, with an idempotency key.
  std::uint32_t Bookings = 30;
  /// Writes that may not be repeated, without an idempotency key.
  std::uint32_t Dispatches = 10;
  /// Reads that must see the session's own writes.
  std::uint32_t SessionReads = 40;
  /// Reads that accept data of a stated age.
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

/// The kind's stable name, as in plans and reports. Thread-safe.
std::string_view toString(LoadFaultKind Kind);

/// One fault of the schedule.
struct LoadFault {
  /// After the start of the load.
  Duration StartsAt{0};
  LoadFaultKind Kind = LoadFaultKind::CrashPrimary;
  /// The database, from 0, for faults of members.
  std::size_t Database = 0;
  /// The instance, from 0, for faults of instances.
  std::size_t Instance = 0;
  /// For LagReplicas.
  Duration Lag{0};

  bool operator==(const LoadFault &) const = default;
};

/// A whole load run.
struct LoadPlan {
  std::string Name;
  FleetOptions Fleet;
  std::uint64_t Seed = 1;
  Duration Length = std::chrono::seconds(10);
  /// Arrivals per second, over all instances, open loop.
  std::uint32_t ArrivalRate = 200;
  std::uint32_t Sessions = 50;
  Duration MaxCatalogueAge = std::chrono::seconds(1);
  Duration Deadline = std::chrono::seconds(5);
  LoadMix Mix;
  std::vector<LoadFault> Faults;
};

/// Reads and checks a plan in YAML. Thread-safe. Errors: BadRequest with
/// every problem: file, line, key and remedy.
Result<LoadPlan> parseLoadPlan(std::string_view Text, const std::string &File);

} // namespace turmericpitch
