#include "failover/ProbeSchedule.h"

#include <algorithm>

namespace turmericpitch {

bool ProbeSchedule::isActive(TimePoint Now) const {
  return this->LastStatement &&
         Now < *this->LastStatement + this->Options.ActivityTimeout;
}

std::vector<DatabaseMember>
ProbeSchedule::membersToProbe(const DatabaseView &View, bool Observer,
                              TimePoint Now) {
  std::vector<DatabaseMember> Due;
  bool Active = this->isActive(Now);
  Duration Interval =
      Active ? this->Options.ActiveInterval : this->Options.IdleInterval;
  for (const MemberView &Member : View.Members) {
    // A member never heard of is asked once by everyone, to route at all.
    if (!Active && !Observer && Member.Last)
      continue;
    auto Probed = this->LastProbe.find(Member.Configured.Id);
    bool ProbedLately =
        Probed != this->LastProbe.end() && Now < Probed->second + Interval;
    // Failures call for a probe of their own, however fresh the last answer.
    bool HeardLately = Member.Last && Member.FailuresInRow == 0 &&
                       Now < Member.AskedAt + Interval;
    if (ProbedLately || HeardLately)
      continue;
    this->LastProbe[Member.Configured.Id] = Now;
    Due.push_back(Member.Configured);
  }
  return Due;
}

Duration ProbeSchedule::probeInterval(TimePoint Now) const {
  return this->isActive(Now) ? this->Options.ActiveInterval
                             : this->Options.IdleInterval;
}

} // namespace turmericpitch
