#include "failover/SuccessorRules.h"

#include <algorithm>
#include <tuple>

namespace turmericpitch {

namespace {

/// The end of the furthest known log of a replica; empty without reports.
std::optional<TermPosition> furthestLog(const SuccessorSearch &Search) {
  std::optional<TermPosition> Furthest;
  for (const ReplicaState &Each : Search.Replicas)
    if (Each.Report)
      Furthest = std::max(Furthest, std::optional(Each.Report->Received));
  return Furthest;
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
    if (!Each.CoveredFrom || !Furthest || *Furthest < *Each.CoveredFrom)
      Unknown.push_back(Each.Id);
  return Unknown;
}

/// The furthest replica that may be promoted and reaches Required.
std::optional<UpstreamId>
bestSuccessor(const SuccessorOptions &Options, const SuccessorSearch &Search,
              const std::optional<TermPosition> &Required, bool MayDrain,
              TimePoint Now) {
  std::vector<SuccessorCandidate> Staying;
  std::vector<SuccessorCandidate> Draining;
  for (const ReplicaState &Each : Search.Replicas) {
    if (!Each.Report || Each.Refused ||
        Now - Each.Report->ReceivedAt > Options.ReportValidity ||
        (Required && Each.Report->Received < *Required))
      continue;
    (Each.Draining ? Draining : Staying)
        .push_back({.Id = Each.Id,
                    .Received = Each.Report->Received,
                    .ApplyDelay = Each.Report->ApplyDelay});
  }
  auto Best = chooseSuccessor(Staying);
  if (Best || !MayDrain)
    return Best;
  return chooseSuccessor(Draining);
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
  bool MayDrain = CatchUpOver && !isPlanned(Search.Reason);
  std::optional<TermPosition> Furthest = furthestLog(Search);
  SuccessorDecision Decision;
  std::optional<TermPosition> Required = Search.PrimaryPosition;
  bool IsComplete = true;
  if (!Synchronous) {
    Required = std::max(Required, Search.Sampled);
  } else if (!Required) {
    Required = Furthest;
    Decision.Missing = unknownHolders(Search, Furthest);
    // The empty id stands for any number of members.
    bool KnowsAll = std::ranges::find(Decision.Missing, UpstreamId{}) ==
                    Decision.Missing.end();
    IsComplete = KnowsAll && !needsMemberList(Search) &&
                 Decision.Missing.size() < Search.SynchronousReplicas;
  }
  std::optional<UpstreamId> Best;
  if (IsComplete)
    Best = bestSuccessor(Options, Search, Required, MayDrain, Now);
  if (!Best && CatchUpOver) {
    bool Keep = Search.Reason == FailoverReason::Backlog ||
                (Synchronous && isPlanned(Search.Reason) &&
                 Search.PrimaryPosition.has_value());
    if (Keep)
      return {.Action = SuccessorAction::KeepPrimary};
    bool MayLose =
        !Synchronous || Now - Search.ClosedAt >= Options.HolderTimeout;
    if (MayLose)
      Best = bestSuccessor(Options, Search, Furthest, MayDrain, Now);
    // The member with the furthest log may be unable to become primary.
    if (MayLose && !Best)
      Best = bestSuccessor(Options, Search, std::nullopt, MayDrain, Now);
  }
  if (Best) {
    Decision.Action = SuccessorAction::Promote;
    Decision.Target = *Best;
  }
  return Decision;
}

} // namespace turmericpitch
