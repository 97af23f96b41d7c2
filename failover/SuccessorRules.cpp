#include "failover/SuccessorRules.h"

#include <algorithm>
#include <tuple>

namespace turmericpitch {

namespace {

/// The end of the furthest known log of a replica, registered or not; empty
/// without reports.
std::optional<TermPosition> furthestLog(const SuccessorSearch &Search) {
  std::optional<TermPosition> Furthest;
  for (const ReplicaState &Each : Search.Replicas)
    if (Each.Report)
      Furthest = std::max(Furthest, std::optional(Each.Report->Received));
  for (const DepartedReplica &Each : Search.Departed)
    if (Each.Report)
      Furthest = std::max(Furthest, std::optional(Each.Report->Received));
  return Furthest;
}

/// Whether the furthest known log holds all that a departed replica, and a
/// member that took over its address since, can have confirmed.
bool isCovered(const SuccessorSearch &Search, const DepartedReplica &Each,
               const std::optional<TermPosition> &Furthest) {
  return Each.CoveredFrom && Furthest && *Furthest >= *Each.CoveredFrom &&
         Each.VacantAt && *Each.VacantAt >= Search.ClosedAt;
}

/// The replicas that can have confirmed a commit which the furthest known log
/// lacks.
std::vector<UpstreamId>
unknownHolders(const SuccessorSearch &Search,
               const std::optional<TermPosition> &Furthest) {
  std::vector<UpstreamId> Unknown;
  for (const ReplicaState &Each : Search.Replicas)
    if (!Each.Report)
      Unknown.push_back(Each.Id);
  for (const DepartedReplica &Each : Search.Departed)
    if (!Each.Report && !isCovered(Search, Each, Furthest))
      Unknown.push_back(Each.Id);
  return Unknown;
}

/// The position that a successor must reach if nothing is to be lost.
std::optional<TermPosition> requiredPosition(const SuccessorSearch &Search) {
  if (Search.SynchronousReplicas == 0)
    return std::max(Search.PrimaryPosition, Search.Sampled);
  return std::max(Search.Acknowledged, Search.PrimaryPosition
                                           ? Search.PrimaryPosition
                                           : furthestLog(Search));
}

/// Whether replicas that drain may succeed.
bool mayDrain(const SuccessorOptions &Options, const SuccessorSearch &Search,
              TimePoint Now) {
  return Now - Search.BeganAt >= Options.CatchUpTimeout &&
         !isPlanned(Search.Reason);
}

MemberStanding standingOf(const SuccessorOptions &Options,
                          const ReplicaState &Each,
                          const std::optional<TermPosition> &Required,
                          bool MayDrain, TimePoint Now) {
  if (!Each.Report)
    return MemberStanding::Silent;
  if (Each.Refused)
    return MemberStanding::Refused;
  if (Now - Each.Report->ReceivedAt > Options.ReportValidity)
    return MemberStanding::Outdated;
  if (Required && Each.Report->Received < *Required)
    return MemberStanding::Behind;
  if (Each.Draining && !MayDrain)
    return MemberStanding::Draining;
  return MemberStanding::Candidate;
}

/// The furthest replica that may be promoted and reaches Required; one that
/// drains only if no other does. One whose promotion may have been requested
/// comes first, as two promotions must not take effect.
std::optional<UpstreamId>
bestSuccessor(const SuccessorOptions &Options, const SuccessorSearch &Search,
              const std::optional<TermPosition> &Required, TimePoint Now) {
  bool MayDrain = mayDrain(Options, Search, Now);
  std::vector<SuccessorCandidate> Staying;
  std::vector<SuccessorCandidate> Draining;
  for (const ReplicaState &Each : Search.Replicas) {
    if (standingOf(Options, Each, Required, MayDrain, Now) !=
        MemberStanding::Candidate)
      continue;
    if (Each.Id == Search.Ordered)
      return Each.Id;
    (Each.Draining ? Draining : Staying)
        .push_back({.Id = Each.Id,
                    .Received = Each.Report->Received,
                    .ApplyDelay = Each.Report->ApplyDelay});
  }
  auto Best = chooseSuccessor(Staying);
  return Best ? Best : chooseSuccessor(Draining);
}

} // namespace

std::optional<UpstreamId>
chooseSuccessor(std::span<const SuccessorCandidate> Candidates) {
  const SuccessorCandidate *Best = nullptr;
  for (const SuccessorCandidate &Each : Candidates)
    if (!Best || std::tie(Each.Received, Each.ApplyDelay) >
                     std::tie(Best->Received, Best->ApplyDelay))
      Best = &Each;
  if (!Best)
    return std::nullopt;
  return Best->Id;
}

std::string_view toString(MemberStanding Standing) {
  switch (Standing) {
  case MemberStanding::Candidate:
    return "candidate";
  case MemberStanding::Outdated:
    return "outdated";
  case MemberStanding::Refused:
    return "refused";
  case MemberStanding::Behind:
    return "behind";
  case MemberStanding::Draining:
    return "draining";
  case MemberStanding::Departed:
    return "departed";
  case MemberStanding::Covered:
    return "covered";
  case MemberStanding::Unlisted:
    return "unlisted";
  case MemberStanding::Silent:
    break;
  }
  return "silent";
}

SearchAssessment assessSearch(const SuccessorOptions &Options,
                              const SuccessorSearch &Search, TimePoint Now) {
  SearchAssessment Result{.Required = requiredPosition(Search)};
  bool MayDrain = mayDrain(Options, Search, Now);
  for (const ReplicaState &Each : Search.Replicas)
    Result.Members.push_back(
        {.Id = Each.Id,
         .Standing =
             standingOf(Options, Each, Result.Required, MayDrain, Now)});
  std::optional<TermPosition> Furthest = furthestLog(Search);
  for (const DepartedReplica &Each : Search.Departed)
    Result.Members.push_back({.Id = Each.Id,
                              .Standing = Each.Report ? MemberStanding::Unlisted
                                          : isCovered(Search, Each, Furthest)
                                              ? MemberStanding::Covered
                                              : MemberStanding::Departed});
  return Result;
}

bool needsMemberList(const SuccessorSearch &Search) {
  if (Search.SynchronousReplicas == 0 || Search.PrimaryPosition)
    return false;
  TimePoint KnownFrom = Search.ClosedAt;
  for (const ReplicaState &Each : Search.Replicas)
    if (Each.Report)
      KnownFrom = std::max(KnownFrom, Each.Report->ReceivedAt);
  return !Search.ListedAt || *Search.ListedAt < KnownFrom;
}

SuccessorDecision decideSuccessor(const SuccessorOptions &Options,
                                  const SuccessorSearch &Search,
                                  TimePoint Now) {
  bool Synchronous = Search.SynchronousReplicas > 0;
  bool CatchUpOver = Now - Search.BeganAt >= Options.CatchUpTimeout;
  std::optional<TermPosition> Furthest = furthestLog(Search);
  SuccessorDecision Decision;
  bool IsComplete = true;
  if (Synchronous && !Search.PrimaryPosition) {
    Decision.Missing = unknownHolders(Search, Furthest);
    // The empty id stands for any number of members.
    bool KnowsAll = std::ranges::find(Decision.Missing, UpstreamId{}) ==
                    Decision.Missing.end();
    IsComplete = KnowsAll && !needsMemberList(Search) &&
                 Decision.Missing.size() < Search.SynchronousReplicas;
  }
  std::optional<UpstreamId> Best;
  if (IsComplete)
    Best = bestSuccessor(Options, Search, requiredPosition(Search), Now);
  if (!Best && CatchUpOver) {
    bool Keep = Search.Reason == FailoverReason::Backlog ||
                (Synchronous && isPlanned(Search.Reason) &&
                 Search.PrimaryPosition.has_value());
    if (Keep)
      return {.Action = SuccessorAction::KeepPrimary};
    bool MayLose =
        !Synchronous || Now - Search.ClosedAt >= Options.HolderTimeout;
    if (MayLose)
      Best = bestSuccessor(Options, Search, Furthest, Now);
    // The member with the furthest log may be unable to become primary.
    if (MayLose && !Best)
      Best = bestSuccessor(Options, Search, std::nullopt, Now);
  }
  if (Best) {
    Decision.Action = SuccessorAction::Promote;
    Decision.Target = *Best;
  }
  return Decision;
}

} // namespace turmericpitch
