#include "failover/SuccessorRules.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TEST(SuccessorRules, ChoosesTheFurthestLog) {
  EXPECT_FALSE(chooseSuccessor({}));
  std::vector<SuccessorCandidate> All{
      {.Id = {"a"}, .Received = {.WrittenIn = {1}, .Position = {9}}},
      {.Id = {"b"}, .Received = {.WrittenIn = {2}, .Position = {3}}},
      {.Id = {"c"}, .Received = {.WrittenIn = {1}, .Position = {10}}}};
  EXPECT_EQ(chooseSuccessor(All)->Value, "b");
}

TEST(SuccessorRules, ChoosesTheLongestBacklogAmongEqualLogs) {
  TermPosition Received{.WrittenIn = {1}, .Position = {9}};
  std::vector<SuccessorCandidate> All{
      {.Id = {"a"}, .Received = Received, .ApplyDelay = milliseconds(200)},
      {.Id = {"b"}, .Received = Received, .ApplyDelay = milliseconds(9000)},
      {.Id = {"c"}, .Received = Received, .ApplyDelay = milliseconds(0)}};
  EXPECT_EQ(chooseSuccessor(All)->Value, "b");
}

constexpr SuccessorOptions Options;
const TimePoint Began{std::chrono::hours(1)};

TermPosition at(std::uint64_t Position) {
  return {.WrittenIn = {1}, .Position = {Position}};
}

ReplicaState replica(const char *Id, std::optional<std::uint64_t> Received,
                     bool Draining = false) {
  ReplicaState State{.Id = {Id}, .Draining = Draining};
  if (Received)
    State.Report = LogReport{.Received = at(*Received), .ReceivedAt = Began};
  return State;
}

SuccessorSearch search(std::vector<ReplicaState> Replicas,
                       std::uint32_t SynchronousReplicas = 1) {
  return {.Reason = FailoverReason::Lost,
          .SynchronousReplicas = SynchronousReplicas,
          .Replicas = std::move(Replicas),
          .BeganAt = Began,
          .ClosedAt = Began,
          .ListedAt = Began};
}

/// The decision After the search began, with reports that are as new.
SuccessorDecision decide(SuccessorSearch Search,
                         Duration After = milliseconds(10)) {
  for (ReplicaState &Each : Search.Replicas)
    if (Each.Report)
      Each.Report->ReceivedAt = Began + After;
  if (Search.ListedAt == Began)
    Search.ListedAt = Began + After;
  return decideSuccessor(Options, Search, Began + After);
}

SuccessorDecision promote(const char *Id,
                          std::vector<UpstreamId> Missing = {}) {
  return {.Action = SuccessorAction::Promote,
          .Target = {Id},
          .Missing = std::move(Missing)};
}

SuccessorDecision waitFor(std::vector<UpstreamId> Missing) {
  return {.Action = SuccessorAction::Wait, .Missing = std::move(Missing)};
}

TEST(SuccessorRules, WaitsForEachReplicaThatMayHoldACommitAlone) {
  SuccessorSearch Search = search({replica("a", 5), replica("b", {})});
  EXPECT_EQ(decide(Search), waitFor({{"b"}}));
  EXPECT_EQ(decide(Search, Options.HolderTimeout - milliseconds(1)),
            waitFor({{"b"}}));
  // Each commit stands on both.
  Search.SynchronousReplicas = 2;
  EXPECT_EQ(decide(Search), promote("a", {{"b"}}));
  Search.SynchronousReplicas = 0;
  EXPECT_EQ(decide(Search), promote("a"));
}

// No service stays without a primary for good.
TEST(SuccessorRules, PromotesWithoutTheMissingReplicaInTheEnd) {
  SuccessorSearch Search = search({replica("a", 5), replica("b", {})});
  EXPECT_EQ(decide(Search, Options.HolderTimeout), promote("a", {{"b"}}));
  Search.Replicas = {replica("a", {}), replica("b", 4, true)};
  EXPECT_EQ(decide(Search, Options.HolderTimeout), promote("b", {{"a"}}));
}

TEST(SuccessorRules, DrainingReplicaSucceedsIfNoOtherReachesItsLog) {
  SuccessorSearch Search = search({replica("a", 5), replica("b", 9, true)});
  EXPECT_EQ(decide(Search), waitFor({}));
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), promote("b"));
  Search.Replicas[0] = replica("a", 9);
  EXPECT_EQ(decide(Search), promote("a"));
  // Not in place of a primary that still runs.
  Search.Replicas[0] = replica("a", 5);
  Search.Reason = FailoverReason::Leaving;
  Search.PrimaryPosition = at(9);
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout).Action,
            SuccessorAction::KeepPrimary);
}

TEST(SuccessorRules, HandOverWaitsForThePrimarysLog) {
  SuccessorSearch Search = search({replica("a", 5), replica("b", {})});
  Search.Reason = FailoverReason::Leaving;
  Search.PrimaryPosition = at(6);
  EXPECT_EQ(decide(Search), waitFor({}));
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout).Action,
            SuccessorAction::KeepPrimary);
  Search.Replicas[0] = replica("a", 6);
  EXPECT_EQ(decide(Search), promote("a"));
  // A primary that no longer replies is treated as a lost one.
  Search.PrimaryPosition.reset();
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), waitFor({{"b"}}));
}

TEST(SuccessorRules, WithoutSynchronousReplicasTheWaitIsShort) {
  SuccessorSearch Search = search({replica("a", 5), replica("b", {})}, 0);
  Search.Sampled = at(6);
  EXPECT_EQ(decide(Search), waitFor({}));
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), promote("a"));
  // A service whose replicas all drain has a primary again, too.
  Search.Replicas = {replica("a", 5, true)};
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), promote("a"));
}

TEST(SuccessorRules, DepartedReplicaIsCoveredByALaterSample) {
  SuccessorSearch Search = search({replica("a", 5)});
  Search.Departed = {{.Id = {"b"}}};
  EXPECT_EQ(decide(Search), waitFor({{"b"}}));
  Search.Departed = {{.Id = {"b"}, .CoveredFrom = at(6)}};
  EXPECT_EQ(decide(Search), waitFor({{"b"}}));
  Search.Departed = {
      {.Id = {"b"}, .Ended = true, .CoveredFrom = at(5), .VacantAt = Began}};
  EXPECT_EQ(decide(Search), promote("a"));
  // A member that isn't registered may have taken over its address.
  Search.Departed[0].VacantAt = Began - milliseconds(1);
  EXPECT_EQ(decide(Search), waitFor({{"b"}}));
  Search.Departed[0].VacantAt.reset();
  EXPECT_EQ(decide(Search), waitFor({{"b"}}));
}

// A replica that has just joined may hold a commit alone, and one that has
// started again may have lost its log.
TEST(SuccessorRules, MembersAreListedAfterTheirReports) {
  SuccessorSearch Search = search({replica("a", 5)});
  Search.ListedAt = Began - milliseconds(1);
  EXPECT_TRUE(needsMemberList(Search));
  EXPECT_EQ(decide(Search), waitFor({}));
  Search.ListedAt.reset();
  EXPECT_EQ(decide(Search), waitFor({}));
  Search.SynchronousReplicas = 0;
  EXPECT_EQ(decide(Search), promote("a"));
}

// A replica that ran without an entry held acknowledged commits and wasn't
// asked.
TEST(SuccessorRules, LogOfAnUnlistedReplicaIsRequired) {
  SuccessorSearch Search = search({replica("a", 5)});
  Search.Departed = {
      {.Id = {"b"},
       .Report = LogReport{.Received = at(9), .ReceivedAt = Began}}};
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), waitFor({}));
  SearchAssessment Expected{.Required = at(9),
                            .Members = {{{"a"}, MemberStanding::Behind},
                                        {{"b"}, MemberStanding::Unlisted}}};
  EXPECT_EQ(assessSearch(Options, Search, Began), Expected);
  // No service stays without a primary for good.
  EXPECT_EQ(decide(Search, Options.HolderTimeout), promote("a"));
  Search.Departed.clear();
  Search.Replicas.push_back(replica("b", 9));
  EXPECT_EQ(decide(Search), promote("b"));
}

// The promoter's own acknowledgements showed that the replica it promoted
// lacked commits.
TEST(SuccessorRules, AcknowledgedPositionIsNotPassedUnder) {
  SuccessorSearch Search = search({replica("a", 5)});
  Search.Acknowledged = at(6);
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), waitFor({}));
  EXPECT_EQ(decide(Search, Options.HolderTimeout), promote("a"));
  Search.Acknowledged = at(5);
  EXPECT_EQ(decide(Search), promote("a"));
  Search.Acknowledged = at(6);
  Search.SynchronousReplicas = 0;
  EXPECT_EQ(decide(Search), promote("a"));
}

SuccessorDecision keepPrimary() {
  return {.Action = SuccessorAction::KeepPrimary};
}

/// A hand-over for backlog from a, which has replied.
SuccessorSearch backlog(std::vector<ReplicaState> Replicas) {
  SuccessorSearch Search = search(std::move(Replicas), 0);
  Search.Reason = FailoverReason::Backlog;
  Search.FormerPrimary = {"a"};
  Search.Former = replica("a", 9);
  Search.Former->Leads = true;
  Search.Former->Report->ReceivedAt = Began + Options.CatchUpTimeout;
  Search.PrimaryPosition = at(9);
  Search.Terms = {{.Member = {"a"}, .Leads = true, .Newest = {1}}};
  return Search;
}

// No replica answered after the order was taken (review/12).
TEST(SuccessorRules, HandOverThatWasOrderedEndsWithANewOrder) {
  SuccessorSearch Search = backlog({replica("b", {}), replica("c", {})});
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), keepPrimary());
  Search.Orders.add({.Target = {"b"}, .Fate = OrderFate::Taken});
  EXPECT_EQ(decide(Search), waitFor({}));
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), promote("a"));
  // Its order may still take effect.
  Search.Orders.add(
      {.Target = {"b"}, .Fate = OrderFate::Taken, .EndedAt = Began});
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), waitFor({}));
}

TEST(SuccessorRules, LostPrimaryThatLeadsIsKeptOnlyWithoutOrders) {
  SuccessorSearch Search = backlog({replica("b", 9), replica("a", 9)});
  Search.Reason = FailoverReason::Lost;
  EXPECT_EQ(decide(Search), keepPrimary());
  // Another member's promotion shows a newer term at once.
  Search.Orders.add({.Target = {"c"}, .Fate = OrderFate::Taken});
  EXPECT_EQ(decide(Search), promote("b"));
  Search.Replicas[0] = replica("b", 8);
  EXPECT_EQ(decide(Search), promote("a"));
}

TEST(SuccessorRules, OrderedMemberThatRepliesIsOrderedAgain) {
  SuccessorSearch Search = search({replica("b", 4), replica("c", 9)}, 0);
  Search.Orders.add({.Target = {"b"}, .Fate = OrderFate::Unknown});
  EXPECT_EQ(decide(Search), promote("b"));
  Search.Replicas[0].Refused = true;
  EXPECT_EQ(decide(Search), promote("c"));
}

// Callers had read a state without the end of this log since (review/9).
TEST(SuccessorRules, DiscardedLogSucceedsOnlyIfNoOtherIsKnown) {
  SuccessorSearch Search = search({replica("b", 95), replica("c", 90)}, 0);
  EXPECT_EQ(decide(Search), promote("b"));
  Search.TermStarts = {{.NewTerm = {2}, .PrecedingPosition = {92}}};
  EXPECT_EQ(decide(Search), promote("c"));
  EXPECT_EQ(assessSearch(Options, Search, Began).Members,
            (std::vector<MemberAssessment>{
                {.Id = {"b"}, .Standing = MemberStanding::Discarded},
                {.Id = {"c"}, .Standing = MemberStanding::Candidate}}));
  Search.Sampled = {.WrittenIn = {2}, .Position = {93}};
  EXPECT_EQ(decide(Search), waitFor({}));
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), promote("c"));
  Search.Replicas[1].Report.reset();
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), waitFor({}));
  EXPECT_EQ(decide(Search, Options.HolderTimeout), promote("b"));
}

// A member whose promotion was ordered may have lost its log since.
TEST(SuccessorRules, OrderedMemberComesFirstIfItReachesTheFurthestLog) {
  SuccessorSearch Search = search({replica("a", 5), replica("b", 5)});
  Search.Orders.add({.Target = {"b"}});
  EXPECT_EQ(decide(Search), promote("b"));
  Search.Replicas[1] = replica("b", 4);
  EXPECT_EQ(decide(Search), promote("a"));
}

TEST(SuccessorRules, MemberThatEndedIsNotPromoted) {
  SuccessorSearch Search = search({replica("a", 5), replica("b", 4)});
  Search.Replicas[0].Refused = true;
  EXPECT_EQ(decide(Search, Options.CatchUpTimeout), waitFor({}));
  EXPECT_EQ(decide(Search, Options.HolderTimeout), promote("b"));
  Search.Replicas[0].Refused = false;
  TimePoint Later = Began + Options.ReportValidity + milliseconds(1);
  EXPECT_EQ(decideSuccessor(Options, Search, Later).Action,
            SuccessorAction::Wait);
}

RegisteredMember member(const char *Id, std::uint16_t Port,
                        bool Draining = false) {
  RegisteredMember Member;
  Member.Id = {Id};
  Member.Where = {.Address = "127.0.0.1", .Port = Port};
  Member.Draining = Draining;
  return Member;
}

PrimarySample sampleAt(TimePoint AskedAt, std::uint64_t Position) {
  return {.AskedAt = AskedAt, .Reached = at(Position)};
}

const UpstreamId B{"b"};
constexpr TimePoint Always = TimePoint::max();

TEST(ReplicaHistory, DepartureIsCoveredByWhatWasAskedAfterItsEnd) {
  ReplicaHistory History({.UnlistedTimeout = Duration{0}});
  History.onMembers({member("a", 1), member("b", 2)}, Began, Began);
  EXPECT_EQ(History.departed(),
            (std::vector<DepartedReplica>{{.Id = {}, .VacantAt = Always}}));
  History.onSample(sampleAt(Began, 3));
  TimePoint Missing = Began + milliseconds(100);
  History.onMembers({member("a", 1)}, Missing, Missing);
  TimePoint Refused = Missing + milliseconds(100);
  History.onSample(sampleAt(Refused - milliseconds(1), 4));
  History.onAddressAnswered(B, false, Missing, Refused);
  std::vector<DepartedReplica> Expected{
      {.Id = {}, .CoveredFrom = at(3), .VacantAt = Always},
      {.Id = B, .Ended = true, .VacantAt = Missing}};
  EXPECT_EQ(History.departed(), Expected);
  EXPECT_TRUE(History.needsSample(Refused));
  History.onSample(sampleAt(Refused - milliseconds(1), 4));
  EXPECT_EQ(History.departed(), Expected);
  History.onSample(sampleAt(Refused, 5));
  History.onSample(sampleAt(Refused + milliseconds(100), 6));
  Expected[1].CoveredFrom = at(5);
  EXPECT_EQ(History.departed(), Expected);
  EXPECT_FALSE(History.needsSample(Refused));
}

// A replica whose entry had ended went on confirming commits, and a sample of
// the primary covered it.
TEST(ReplicaHistory, UnlistedReplicaIsNotCoveredWhileItMayRun) {
  ReplicaHistory History({.UnlistedTimeout = Duration{0}});
  History.onMembers({member("a", 1), member("b", 2)}, Began, Began);
  TimePoint Missing = Began + milliseconds(100);
  History.onMembers({member("a", 1)}, Missing, Missing);
  History.onSample(sampleAt(Missing + milliseconds(100), 5));
  ASSERT_EQ(History.departed().size(), 2U);
  EXPECT_EQ(History.departed()[1], DepartedReplica{.Id = B});
  EXPECT_EQ(History.unlisted(), std::vector{member("b", 2)});
  // It is back with the process that had left.
  History.onMembers({member("a", 1), member("b", 2)}, Missing, Missing);
  EXPECT_EQ(History.departed().size(), 1U);
  EXPECT_TRUE(History.unlisted().empty());
}

// A member that isn't registered yet has the log of the drained one and goes on
// confirming commits.
TEST(ReplicaHistory, TakenOverAddressIsNotCovered) {
  ReplicaHistory History;
  History.onMembers({member("a", 1), member("b", 2, true)}, Began, Began);
  History.onMembers({member("a", 1)}, Began, Began);
  History.onAddressAnswered(B, false, Began, Began);
  History.onSample(sampleAt(Began, 5));
  EXPECT_EQ(History.departed()[1].CoveredFrom, at(5));
  History.onAddressAnswered(B, true, Began, Began);
  History.onSample(sampleAt(Began, 6));
  EXPECT_EQ(History.departed()[1], DepartedReplica{.Id = B});
  History.onMembers({member("a", 1), member("c", 2)}, Began, Began);
  EXPECT_EQ(History.departed().size(), 1U);
}

TEST(ReplicaHistory, AddressOfAnotherServicesMemberIsNotAsked) {
  ReplicaHistory History;
  History.onMembers({member("a", 1), member("b", 2)}, Began, Began);
  std::vector<Endpoint> Others{member("x", 2).Where};
  History.onMembers({member("a", 1)}, Began, Began, Others);
  EXPECT_TRUE(History.unlisted().empty());
  History.onSample(sampleAt(Began, 5));
  EXPECT_EQ(
      History.departed()[1],
      (DepartedReplica{
          .Id = B, .Ended = true, .CoveredFrom = at(5), .VacantAt = Always}));
}

// A replica that had started again without its log counted as a complete
// report, as its entry still showed the earlier process.
TEST(ReplicaHistory, NewConnectionMayLeadToAnotherProcess) {
  ReplicaHistoryOptions Defaults;
  ReplicaHistory History;
  RegisteredMember Listed = member("b", 2);
  Listed.StartedAt = 7;
  History.onMembers({Listed}, Began, Began);
  History.onConnected(B, Began);
  History.onSample(sampleAt(Began, 5));
  History.onConnected(B, Began);
  ASSERT_EQ(History.departed().size(), 2U);
  EXPECT_EQ(History.departed()[1].CoveredFrom, at(5));
  TimePoint Again = Began + milliseconds(100);
  History.onConnected(B, Again);
  History.onSample(sampleAt(Began + milliseconds(50), 6));
  ASSERT_EQ(History.departed().size(), 3U);
  EXPECT_EQ(History.departed()[2],
            (DepartedReplica{.Id = B, .Ended = true, .VacantAt = Always}));
  // An entry that an earlier process wrote would have ended by then.
  for (TimePoint Now = Again; Now < Again + Defaults.EntryLifetime;
       Now += milliseconds(1000))
    History.onMembers({Listed}, Now, Now);
  EXPECT_EQ(History.departed().size(), 3U);
  TimePoint Proven = Again + Defaults.EntryLifetime;
  History.onMembers({Listed}, Proven, Proven);
  EXPECT_EQ(std::ranges::count(History.departed(), B, &DepartedReplica::Id), 0);
}

// A member may join, confirm a commit and be gone while nothing is listed.
TEST(ReplicaHistory, MembersMayHaveDepartedInAGap) {
  ReplicaHistoryOptions Defaults;
  ReplicaHistory History;
  TimePoint Listed = Began + Defaults.MaxListingGap;
  History.onMembers({member("a", 1)}, Began, Began);
  EXPECT_FALSE(History.knowsAll());
  History.onMembers({member("a", 1)}, Listed, Listed);
  // Nobody tells whether such a member still runs, for as long as that may be.
  History.onSample(
      sampleAt(Began + Defaults.UnlistedTimeout - milliseconds(1), 3));
  EXPECT_FALSE(History.knowsAll());
  History.onSample(sampleAt(Began + Defaults.UnlistedTimeout, 3));
  EXPECT_TRUE(History.knowsAll());
  Listed += Defaults.MaxListingGap + milliseconds(1);
  History.onMembers({member("a", 1)}, Listed, Listed);
  EXPECT_EQ(History.departed(),
            (std::vector<DepartedReplica>{
                {.Id = {}, .CoveredFrom = at(3), .VacantAt = Always},
                {.Id = {}, .VacantAt = Always}}));
}

TEST(ReplicaHistory, MemberThatStartsAgainHasDeparted) {
  ReplicaHistory History;
  RegisteredMember First = member("a", 1);
  RegisteredMember Second = First;
  Second.StartedAt = First.StartedAt + 1;
  History.onMembers({First}, Began, Began);
  History.onMembers({Second}, Began, Began);
  ASSERT_EQ(History.departed().size(), 2U);
  EXPECT_EQ(History.departed()[1].Id.Value, "a");
}

// A member that drained hands its log to the one that takes its address; one
// that crashed doesn't.
TEST(ReplicaHistory, OnlyADrainedMembersLogIsTakenOver) {
  for (bool Drained : {true, false}) {
    ReplicaHistory History;
    History.onMembers({member("a", 1), member("b", 2, Drained)}, Began, Began);
    History.onMembers({member("a", 1)}, Began, Began);
    EXPECT_EQ(History.departed().size(), 2U);
    History.onMembers({member("a", 1), member("c", 2)}, Began, Began);
    EXPECT_EQ(History.departed().size(), Drained ? 1U : 2U);
  }
}

} // namespace
} // namespace turmericpitch
