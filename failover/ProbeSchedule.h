// Decides which members of a database to probe, and when.
#pragma once

#include "routing/UpstreamView.h"

#include <map>
#include <vector>

namespace turmericpitch {

struct ProbeScheduleOptions {
  /// Between two signs of life of a member while statements come.
  Duration ActiveInterval = std::chrono::milliseconds(100);
  /// Between two probes by an observer while none come.
  Duration IdleInterval = std::chrono::seconds(15);
  /// How long a statement keeps its database active.
  Duration ActivityTimeout = std::chrono::seconds(5);
};

/// One database's probes at one instance. An answer to a statement is as good
/// as one to a probe, so a member in use is not probed. A database without
/// statements here is probed by its observers alone, and seldom. Pure; not
/// thread-safe.
class ProbeSchedule {
public:
  explicit ProbeSchedule(ProbeScheduleOptions Options) : Options(Options) {}

  /// A statement for the database came in at this instance.
  void onStatement(TimePoint Now) { this->LastStatement = Now; }
  /// Whether statements have come recently.
  [[nodiscard]] bool isActive(TimePoint Now) const;
  /// The members to probe now; they count as probed from here on.
  std::vector<DatabaseMember> membersToProbe(const DatabaseView &View,
                                             bool Observer, TimePoint Now);
  /// How long nothing is due at most, unless a statement comes.
  [[nodiscard]] Duration probeInterval(TimePoint Now) const;

private:
  ProbeScheduleOptions Options;
  std::optional<TimePoint> LastStatement;
  std::map<UpstreamId, TimePoint> LastProbe;
};

} // namespace turmericpitch
