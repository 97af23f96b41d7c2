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
    if (Each.Report && !endsDiscarded(Search.TermStarts, Each.Report->Received))
      Furthest = std::max(Furthest, std::optional(Each.Report->Received));
  for (const DepartedReplica &Each : Search.Departed)
    if (Each.Report && !endsDiscarded(Search.TermStarts, Each.Report->Received))
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

/// Whether the newest order that may have been taken names the member.
bool isOrdered(const SuccessorSearch &Search, const UpstreamId &Id) {
  const GivenOrder *Order = Search.Orders.decisive();
  return Order && Order->Target == Id;
}

/// Whether the member that was ordered can be ordered again as it is. With
/// synchronous replicas, it may have lost its log since, unless it leads.
bool mayOrderAgain(const SuccessorSearch &Search, const ReplicaState &Each) {
  return isOrdered(Search, Each.Id) && Each.Report &&
         Each.Report->ReceivedAt >= Search.BeganAt && !Each.Refused &&
         (Search.SynchronousReplicas == 0 || Each.Leads);
}

/// Whether the former primary can be ordered to lead again.
bool mayOrderFormer(const SuccessorOptions &Options,
                    const SuccessorSearch &Search, TimePoint Now) {
  const auto &Former = Search.Former;
  return Former && Former->Report && !Former->Refused &&
         Now - Former->Report->ReceivedAt <= Options.ReportValidity;
}

/// Orders a member, or waits until earlier orders can't take effect any more.
SuccessorDecision promotion(const SuccessorSearch &Search,
                            const UpstreamId &Target, TimePoint Now,
                            std::vector<UpstreamId> Missing = {}) {
  if (Now < Search.Orders.nextOrderAt(Target))
    return {.Action = SuccessorAction::Wait, .Missing = std::move(Missing)};
  return {.Action = SuccessorAction::Promote,
          .Target = Target,
          .Missing = std::move(Missing)};
}

/// Whether replicas that drain may succeed.
bool mayDrain(const SuccessorOptions &Options, const SuccessorSearch &Search,
              TimePoint Now) {
  return Now - Search.BeganAt >= Options.CatchUpTimeout &&
         !isPlanned(Search.Reason);
}

MemberStanding standingOf(const SuccessorOptions &Options,
                          const SuccessorSearch &Search,
                          const ReplicaState &Each,
                          const std::optional<TermPosition> &Required,
                          TimePoint Now) {
  if (!Each.Report)
    return MemberStanding::Silent;
  if (Each.Refused)
    return MemberStanding::Refused;
  if (Now - Each.Report->ReceivedAt > Options.ReportValidity)
    return MemberStanding::Outdated;
  if (endsDiscarded(Search.TermStarts, Each.Report->Received) &&
      Now - Search.ClosedAt < Options.HolderTimeout)
    return MemberStanding::Discarded;
  if (Required && Each.Report->Received < *Required)
    return MemberStanding::Behind;
  if (Each.Draining && !mayDrain(Options, Search, Now))
    return MemberStanding::Draining;
  return MemberStanding::Candidate;
}

/// The furthest replica that may be promoted and reaches Required; one that
/// drains only if no other does. One whose promotion may have been requested
/// comes first, as two promotions must not take effect.
std::optional<UpstreamId>
bestSuccessor(const SuccessorOptions &Options, const SuccessorSearch &Search,
              const std::optional<TermPosition> &Required, TimePoint Now) {
  std::vector<SuccessorCandidate> Staying;
  std::vector<SuccessorCandidate> Draining;
  std::vector<SuccessorCandidate> Discarded;
  for (const ReplicaState &Each : Search.Replicas) {
    if (standingOf(Options, Search, Each, Required, Now) !=
        MemberStanding::Candidate)
      continue;
    if (isOrdered(Search, Each.Id))
      return Each.Id;
    bool Cut = endsDiscarded(Search.TermStarts, Each.Report->Received);
    (Cut             ? Discarded
     : Each.Draining ? Draining
                     : Staying)
        .push_back({.Id = Each.Id,
                    .Received = Each.Report->Received,
                    .ApplyDelay = Each.Report->ApplyDelay,
                    .Former = Search.Former && Search.Former->Id == Each.Id});
  }
  for (const auto *Group : {&Staying, &Draining})
    if (auto Best = chooseSuccessor(*Group))
      return Best;
  return chooseSuccessor(Discarded);
}

} // namespace

std::optional<UpstreamId>
chooseSuccessor(std::span<const SuccessorCandidate> Candidates) {
  const SuccessorCandidate *Best = nullptr;
  for (const SuccessorCandidate &Each : Candidates)
    if (!Best ||
        std::tuple(Each.Received, !Each.Former, Each.ApplyDelay) >
            std::tuple(Best->Received, !Best->Former, Best->ApplyDelay))
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
  case MemberStanding::Discarded:
    return "discarded";
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
  for (const ReplicaState &Each : Search.Replicas)
    Result.Members.push_back(
        {.Id = Each.Id,
         .Standing = standingOf(Options, Search, Each, Result.Required, Now)});
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
  bool MayKeep = Search.Orders.mayKeep(Search.FormerPrimary, Search.Terms);
  bool Leads = Search.Former && Search.Former->Leads;
  if (Leads && !isPlanned(Search.Reason) && MayKeep)
    return {.Action = SuccessorAction::KeepPrimary};
  for (const ReplicaState &Each : Search.Replicas)
    if (mayOrderAgain(Search, Each))
      return promotion(Search, Each.Id, Now);
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
    if (Keep && MayKeep)
      return {.Action = SuccessorAction::KeepPrimary};
    if (Keep && mayOrderFormer(Options, Search, Now))
      return promotion(Search, Search.Former->Id, Now);
    bool MayLose =
        !Synchronous || Now - Search.ClosedAt >= Options.HolderTimeout;
    if (MayLose)
      Best = bestSuccessor(Options, Search, Furthest, Now);
    // The member with the furthest log may be unable to become primary.
    if (MayLose && !Best)
      Best = bestSuccessor(Options, Search, std::nullopt, Now);
  }
  if (Best)
    return promotion(Search, *Best, Now, std::move(Decision.Missing));
  return Decision;
}

} // namespace turmericpitch
