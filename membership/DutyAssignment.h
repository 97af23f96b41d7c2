// Assigns duties to instances.
#pragma once

#include "membership/MembershipSnapshot.h"

#include <optional>

namespace turmericpitch {

/// Kinds of duties. It is harmless if two instances act as holder of the same
/// duty for a while: each kind either only reads or is fenced at its target.
enum class Duty {
  /// Watch the platform's keys for a zone. A second watcher only reads.
  Watch,
  /// Probe a database's members. A second prober only reads.
  Observe,
  /// Promote a replica. Members accept only one attempt per term.
  Promote,
  /// Maintain a database's connection shares. A write is conditional on the
  /// record's revision, so a second writer is rejected.
  KeepShares,
};

/// The duty's stable name. Thread-safe.
std::string_view toString(Duty Duty);

/// A duty for one subject, which is the name of a database or zone.
struct DutyKey {
  Duty Kind = Duty::Watch;
  std::string Subject;

  auto operator<=>(const DutyKey &) const = default;
};

/// Ranks the live instances of one snapshot for duties. Immutable;
/// thread-safe.
class DutyAssignment {
public:
  explicit DutyAssignment(const MembershipSnapshot &Snapshot);

  /// The first Count holders of a duty, highest rank first. Zones are ordered
  /// by weighted score and contribute one instance each in turn, so that
  /// holders spread over zones. The same set of live instances gives the same
  /// ranking on every instance. The death of an instance moves only the duties
  /// it held, unless its zone's size crosses a power of two.
  [[nodiscard]] std::vector<InstanceId> holders(const DutyKey &Key,
                                                std::size_t Count) const;
  /// The first Count holders among the instances of one zone.
  [[nodiscard]] std::vector<InstanceId> holdersInZone(const DutyKey &Key,
                                                      const ZoneId &Zone,
                                                      std::size_t Count) const;
  /// The rank of an instance among the first Count holders, from 0, or nothing
  /// if it is not one of them.
  [[nodiscard]] std::optional<std::size_t>
  rank(const DutyKey &Key, const InstanceId &Id, std::size_t Count) const;

private:
  struct Candidate {
    InstanceId Id;
    std::uint64_t Hash = 0;
  };
  struct ZoneCandidates {
    ZoneId Zone;
    std::uint64_t Hash = 0;
    double Weight = 1;
    std::vector<Candidate> Instances;
  };
  struct ScoredZone {
    double Score = 0;
    const ZoneCandidates *Zone = nullptr;
  };

  [[nodiscard]] std::vector<ScoredZone> rankZones(std::uint64_t Duty) const;
  static std::vector<const Candidate *>
  topInZone(const ZoneCandidates &Zone, std::uint64_t Duty, std::size_t Count);

  std::vector<ZoneCandidates> Zones;
};

} // namespace turmericpitch
