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
    // Every instance probes a member without any reply once, as it can't be
    // routed to before its status is known.
    if (!Active && !Observer && Member.Last)
      continue;
    auto Probed = this->LastProbe.find(Member.Configured.Id);
    bool ProbedRecently =
        Probed != this->LastProbe.end() && Now < Probed->second + Interval;
    // A member that failed since its last reply is probed, however recent that
    // reply is.
    bool RepliedRecently = Member.Last && Member.FailuresInRow == 0 &&
                           Now < Member.AskedAt + Interval;
    if (ProbedRecently || RepliedRecently)
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
