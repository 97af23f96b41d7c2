// Schedules the health probes of a database's members.
#pragma once

#include "routing/UpstreamView.h"

#include <map>
#include <vector>

namespace turmericpitch {

struct ProbeScheduleOptions {
  /// Maximum time between two replies of a member while the database is active.
  Duration ActiveInterval = std::chrono::milliseconds(100);
  /// Time between two probes by an observer while the database is idle.
  Duration IdleInterval = std::chrono::seconds(15);
  /// How long a database counts as active after a statement.
  Duration ActivityTimeout = std::chrono::seconds(5);
};

/// Schedules the probes of one database at one instance. A reply to a statement
/// replaces a probe, so members in use are not probed. A database that is idle
/// at this instance is probed only by its observers, at the idle interval.
/// Pure; not thread-safe.
class ProbeSchedule {
public:
  explicit ProbeSchedule(ProbeScheduleOptions Options) : Options(Options) {}

  /// Records that this instance received a statement for the database.
  void onStatement(TimePoint Now) { this->LastStatement = Now; }
  /// Whether a statement arrived within the activity timeout.
  [[nodiscard]] bool isActive(TimePoint Now) const;
  /// Returns the members to probe now and records them as probed. Observer:
  /// whether this instance is an observer of the database.
  std::vector<DatabaseMember> membersToProbe(const DatabaseView &View,
                                             bool Observer, TimePoint Now);
  /// Time after which to check again for members to probe, unless a statement
  /// arrives before.
  [[nodiscard]] Duration probeInterval(TimePoint Now) const;

private:
  ProbeScheduleOptions Options;
  std::optional<TimePoint> LastStatement;
  std::map<UpstreamId, TimePoint> LastProbe;
};

} // namespace turmericpitch
