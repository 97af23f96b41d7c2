// Which instances carry out a duty.
#pragma once

#include "membership/MembershipSnapshot.h"

#include <optional>

namespace turmericpitch {

/// Sorts of duties. Each is fenced where it takes effect, so that two
/// instances that believe they hold it do no harm.
enum class Duty {
  /// Watch the platform's keys for a zone; a second watcher only reads.
  Watch,
  /// Probe a database's members; a second one only reads.
  Observe,
  /// Promote a replica; members seal a term to one attempt only.
  Promote,
  /// Keep a database's connection shares; the compare on the record's
  /// revision refuses the second writer.
  KeepShares,
};

/// The duty's stable name. Thread-safe.
std::string_view toString(Duty Duty);

/// One duty for one subject, such as a database's or a zone's name.
struct DutyKey {
  Duty Kind = Duty::Watch;
  std::string Subject;

  auto operator<=>(const DutyKey &) const = default;
};

/// The live instances of one snapshot, by zone, ready for ranking. Immutable;
/// thread-safe.
class DutyAssignment {
public:
  explicit DutyAssignment(const MembershipSnapshot &Snapshot);

  /// The first Count holders of a duty, first in rank first: zones in order
  /// of their weight, one instance of each in turn, so that holders spread
  /// over zones. The same live instances give the same ranking everywhere;
  /// an instance's death moves only the duties it held, unless its zone's
  /// size passes a power of two.
  [[nodiscard]] std::vector<InstanceId> holders(const DutyKey &Key,
                                                std::size_t Count) const;
  /// The same among one zone's instances alone.
  [[nodiscard]] std::vector<InstanceId> holdersInZone(const DutyKey &Key,
                                                      const ZoneId &Zone,
                                                      std::size_t Count) const;
  /// An instance's place among the first Count holders, from 0.
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
