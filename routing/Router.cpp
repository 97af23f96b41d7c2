#include "routing/Router.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr std::uint32_t ToleratedFailures = 1;

bool isAvailable(const MemberView &Member, const ReadRequirements &Needs,
                 const RoutingOptions &Options, TimePoint Now) {
  if (!Member.Last || Member.Configured.Leaving)
    return false;
  bool Excluded = std::find(Needs.Excluded.begin(), Needs.Excluded.end(),
                            Member.Configured.Id) != Needs.Excluded.end();
  if (Excluded)
    return false;
  return Member.FailuresInRow <= ToleratedFailures ||
         Now >= Member.LastFailureAt + Options.FailureBackoff;
}

Route routeTo(const MemberView &Member, RouteReason Reason) {
  return {.Target = Member.Configured.Id,
          .Where = Member.Configured.Where,
          .Reason = Reason,
          .WaitTimeout = Duration{0}};
}

/// Returns a random candidate of the own zone or, if there is none, a random
/// candidate of any zone; nullptr if there are no candidates.
const MemberView *
pickPreferringZone(const std::vector<const MemberView *> &Candidates,
                   const ZoneId &Zone, RandomSource &Random) {
  std::vector<const MemberView *> SameZone;
  std::copy_if(Candidates.begin(), Candidates.end(),
               std::back_inserter(SameZone),
               [&](const MemberView *M) { return M->Configured.Zone == Zone; });
  const auto &From = SameZone.empty() ? Candidates : SameZone;
  if (From.empty())
    return nullptr;
  return From[Random.nextBelow(static_cast<std::uint32_t>(From.size()))];
}

Error makeStaleTokenError() {
  return {.Kind = ErrorKind::StaleToken,
          .Message = "the session has seen changes that a failover discarded",
          .Remedy = "begin a new session and read the current state"};
}

} // namespace

std::string_view toString(RouteReason Reason) {
  switch (Reason) {
  case RouteReason::ReplicaHolds:
    return "replica_holds";
  case RouteReason::ReplicaCatchesUp:
    return "replica_catches_up";
  case RouteReason::ReplicaWithinAge:
    return "replica_within_age";
  case RouteReason::PrimaryForWrite:
    return "primary_for_write";
  case RouteReason::PrimaryFallback:
    break;
  }
  return "primary_last";
}

std::optional<Duration> ageBound(const DatabaseView &View,
                                 const MemberStatus &Known, TimePoint Now) {
  for (auto At = View.Samples.rbegin(); At != View.Samples.rend(); ++At)
    if (View.isProven(*At) &&
        Known.History.contains(At->Reached, Known.AppliedPosition))
      return Now - At->TakenAt;
  return std::nullopt;
}

Duration observedLag(const DatabaseView &View, const MemberView &Member) {
  if (!Member.Last)
    return Duration{0};
  const MemberStatus &Known = *Member.Last;
  std::optional<TimePoint> NewestHeld;
  for (const PositionSample &Sample : View.Samples) {
    if (Sample.TakenAt > Member.AskedAt)
      break;
    if (Known.History.contains(Sample.Reached, Known.AppliedPosition)) {
      NewestHeld = Sample.TakenAt;
      continue;
    }
    // The member's state dates from between the two samples.
    TimePoint Earliest = NewestHeld.value_or(Sample.TakenAt);
    return Member.AskedAt - (Earliest + (Sample.TakenAt - Earliest) / 2);
  }
  return Duration{0};
}

std::optional<Error> staleSessionError(const DatabaseView &View,
                                       const TermPosition &Seen) {
  const MemberView *Primary = View.primary();
  if (Primary && Primary->Last->History.discards(Seen))
    return makeStaleTokenError();
  return std::nullopt;
}

Result<std::optional<Route>> chooseForRead(const DatabaseView &View,
                                           const ReadRequirements &Needs,
                                           const RoutingOptions &Options,
                                           TimePoint Now,
                                           RandomSource &Random) {
  const MemberView *Primary = View.primary();
  if (!Needs.MaximumAge)
    if (auto Stale = staleSessionError(View, Needs.Seen))
      return boost::leaf::new_error(std::move(*Stale));
  std::vector<const MemberView *> Current;
  std::vector<const MemberView *> CatchingUp;
  for (const MemberView &Member : View.Members) {
    if (&Member == Primary || !isAvailable(Member, Needs, Options, Now))
      continue;
    const MemberStatus &Known = *Member.Last;
    if (Needs.MaximumAge) {
      auto Age = ageBound(View, Known, Now);
      if (Age && *Age <= *Needs.MaximumAge)
        Current.push_back(&Member);
    } else if (Known.History.contains(Needs.Seen, Known.AppliedPosition)) {
      Current.push_back(&Member);
    } else if (!Known.History.discards(Needs.Seen) &&
               observedLag(View, Member) <= Options.MaxReplicaWait) {
      CatchingUp.push_back(&Member);
    }
  }
  if (const MemberView *Chosen =
          pickPreferringZone(Current, Options.Zone, Random))
    return std::optional<Route>(
        routeTo(*Chosen, Needs.MaximumAge ? RouteReason::ReplicaWithinAge
                                          : RouteReason::ReplicaHolds));
  if (const MemberView *Chosen =
          pickPreferringZone(CatchingUp, Options.Zone, Random);
      Chosen && Options.MaxReplicaWait > Duration{0}) {
    Route Waiting = routeTo(*Chosen, RouteReason::ReplicaCatchesUp);
    Waiting.WaitTimeout = Options.MaxReplicaWait;
    return std::optional<Route>(Waiting);
  }
  if (Primary && isAvailable(*Primary, Needs, Options, Now))
    return std::optional<Route>(
        routeTo(*Primary, RouteReason::PrimaryFallback));
  return std::optional<Route>();
}

bool isSuperseded(const DatabaseView &View, const UpstreamId &Target) {
  const MemberView *Primary = View.primary();
  return Primary && Primary->Configured.Id != Target;
}

std::optional<Route> chooseForWrite(const DatabaseView &View) {
  const MemberView *Primary = View.primary();
  if (!Primary)
    return std::nullopt;
  return routeTo(*Primary, RouteReason::PrimaryForWrite);
}

} // namespace turmericpitch
