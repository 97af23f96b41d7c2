// Checks the router against a reference model that has the complete logs.
#include "routing/Router.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace turmericpitch {

namespace {

constexpr std::size_t MaxLogLength = 12;
const TimePoint Now{std::chrono::seconds(100)};

/// A member with its complete log: the term of each entry.
struct ReferenceMember {
  UpstreamId Id;
  std::vector<Term> Log;
  std::size_t AppliedPosition = 0;
  Term AcceptedTerm;
  bool Primary = false;
  bool Leaving = false;
  bool Failing = false;
};

struct ReferenceGroup {
  std::vector<ReferenceMember> Members;
  /// The newest primary's complete log: entries from before its promotion and
  /// its own.
  std::vector<Term> Lineage;
};

TermHistory historyOf(const std::vector<Term> &Log) {
  std::vector<TermStart> Starts;
  for (std::size_t Index = 0; Index < Log.size(); ++Index)
    if (Starts.empty() || Starts.back().NewTerm != Log[Index])
      Starts.push_back(
          {.NewTerm = Log[Index], .PrecedingPosition = LogPosition{Index}});
  return TermHistory(std::move(Starts));
}

bool referenceHolds(const ReferenceMember &Member, const TermPosition &Seen) {
  if (Seen.Position.Value == 0)
    return true;
  return Seen.Position.Value <= Member.AppliedPosition &&
         Member.Log[Seen.Position.Value - 1] == Seen.WrittenIn;
}

/// Whether the log can never come to hold the entry, given that it only grows
/// by entries of its newest or later terms.
bool referenceDiscards(const std::vector<Term> &Log, const TermPosition &Seen) {
  if (Seen.Position.Value == 0)
    return false;
  if (Seen.Position.Value <= Log.size())
    return Log[Seen.Position.Value - 1] != Seen.WrittenIn &&
           !(Log.back() < Seen.WrittenIn);
  return !Log.empty() && Seen.WrittenIn < Log.back();
}

/// Two logs that diverge at a random point; members hold prefixes of either.
ReferenceGroup randomGroup(RandomSource &Random) {
  std::vector<Term> Old;
  Term Current{1};
  std::size_t Length = Random.nextBelow(MaxLogLength);
  for (std::size_t Index = 0; Index < Length; ++Index) {
    if (Random.chance(0.2))
      Current.Value += 1 + Random.nextBelow(2);
    Old.push_back(Current);
  }
  std::size_t Kept = Random.nextBelow(static_cast<std::uint32_t>(Length) + 1);
  ReferenceGroup Group;
  Group.Lineage.assign(Old.begin(),
                       Old.begin() + static_cast<std::ptrdiff_t>(Kept));
  Term Newest{Current.Value + 1};
  std::size_t Written = 1 + Random.nextBelow(4);
  Group.Lineage.insert(Group.Lineage.end(), Written, Newest);
  std::size_t Count = 1 + Random.nextBelow(5);
  bool HasPrimary = Random.chance(0.8);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    ReferenceMember Member;
    Member.Id = UpstreamId{"m" + std::to_string(Index)};
    bool Behind = !(HasPrimary && Index == 0) && Random.chance(0.3);
    Member.Log = Behind ? Old : Group.Lineage;
    Member.AcceptedTerm = Behind ? Current : Newest;
    Member.Primary = HasPrimary && Index == 0;
    if (!Member.Primary)
      Member.Log.resize(
          Random.nextBelow(static_cast<std::uint32_t>(Member.Log.size()) + 1));
    Member.AppliedPosition =
        Member.Primary ? Member.Log.size()
                       : Random.nextBelow(
                             static_cast<std::uint32_t>(Member.Log.size()) + 1);
    Member.Leaving = Random.chance(0.1);
    Member.Failing = Random.chance(0.1);
    Group.Members.push_back(std::move(Member));
  }
  return Group;
}

DatabaseView viewOf(const ReferenceGroup &Group) {
  DatabaseView View;
  for (const ReferenceMember &Each : Group.Members) {
    MemberView Member;
    Member.Configured.Id = Each.Id;
    Member.Configured.Leaving = Each.Leaving;
    Member.FailuresInRow = Each.Failing ? 9 : 0;
    Member.LastFailureAt = Now;
    Member.AskedAt = Now;
    MemberStatus Status;
    Status.Id = Each.Id;
    Status.Role = Each.Primary ? MemberRole::Primary : MemberRole::Replica;
    Status.AcceptedTerm = Each.AcceptedTerm;
    Status.History = historyOf(Each.Log);
    Status.LastEntry = Status.History.entryAt(LogPosition{Each.Log.size()});
    Status.AppliedPosition = LogPosition{Each.AppliedPosition};
    Member.Last = Status;
    View.Members.push_back(std::move(Member));
  }
  return View;
}

TermPosition randomSeen(const ReferenceGroup &Group, RandomSource &Random) {
  const auto &From = Group
                         .Members[Random.nextBelow(
                             static_cast<std::uint32_t>(Group.Members.size()))]
                         .Log;
  std::size_t Position =
      Random.nextBelow(static_cast<std::uint32_t>(From.size()) + 1);
  if (Position == 0)
    return {};
  return {.WrittenIn = From[Position - 1], .Position = LogPosition{Position}};
}

/// The choices that the reference model allows: the best possible reason and
/// all members with that reason.
struct ReferenceChoice {
  bool Stale = false;
  std::optional<RouteReason> Reason;
  std::vector<UpstreamId> Members;
};

ReferenceChoice referenceChoice(const ReferenceGroup &Group,
                                const TermPosition &Seen) {
  ReferenceChoice Choice;
  const ReferenceMember *Primary = nullptr;
  Term Newest;
  for (const ReferenceMember &Each : Group.Members)
    Newest = std::max(Newest, Each.AcceptedTerm);
  for (const ReferenceMember &Each : Group.Members)
    if (Each.Primary && Each.AcceptedTerm == Newest)
      Primary = &Each;
  if (Primary && referenceDiscards(Primary->Log, Seen)) {
    Choice.Stale = true;
    return Choice;
  }
  auto Collect = [&](RouteReason Reason, auto IsSuitable) {
    for (const ReferenceMember &Each : Group.Members)
      if (!Choice.Reason || *Choice.Reason == Reason)
        if (!Each.Leaving && !Each.Failing && IsSuitable(Each)) {
          Choice.Reason = Reason;
          Choice.Members.push_back(Each.Id);
        }
  };
  Collect(RouteReason::ReplicaHolds, [&](const ReferenceMember &Each) {
    return &Each != Primary && referenceHolds(Each, Seen);
  });
  Collect(RouteReason::ReplicaCatchesUp, [&](const ReferenceMember &Each) {
    return &Each != Primary && !referenceHolds(Each, Seen) &&
           !referenceDiscards(Each.Log, Seen);
  });
  Collect(RouteReason::PrimaryFallback,
          [&](const ReferenceMember &Each) { return &Each == Primary; });
  return Choice;
}

RC_GTEST_PROP(RouterDifferential, MatchesReferenceWithCompleteLogs, ()) {
  RandomSource Random(*rc::gen::arbitrary<std::uint64_t>());
  ReferenceGroup Group = randomGroup(Random);
  TermPosition Seen = randomSeen(Group, Random);
  DatabaseView View = viewOf(Group);
  ReferenceChoice Expected = referenceChoice(Group, Seen);
  ReadRequirements Needs;
  Needs.Seen = Seen;
  auto Actual = toOutcome([&] {
    return chooseForRead(View, Needs, RoutingOptions{}, Now, Random);
  });
  RC_ASSERT(Actual.hasValue() == !Expected.Stale);
  if (Expected.Stale) {
    RC_ASSERT(Actual.error().Kind == ErrorKind::StaleToken);
    return;
  }
  const std::optional<Route> &Chosen = Actual.value();
  RC_ASSERT(Chosen.has_value() == Expected.Reason.has_value());
  if (!Chosen)
    return;
  RC_ASSERT(Chosen->Reason == *Expected.Reason);
  RC_ASSERT(std::count(Expected.Members.begin(), Expected.Members.end(),
                       Chosen->Target) == 1);
}

} // namespace

} // namespace turmericpitch
