#include "routing/Placement.h"

#include <gtest/gtest.h>
#include <vector>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const TimePoint Now(milliseconds(10'000));
const TermPosition Ten{.WrittenIn = {1}, .Position = {10}};
const TermPosition Twenty{.WrittenIn = {1}, .Position = {20}};

MemberCandidate replica(std::string Id) {
  return {.Id = {std::move(Id)},
          .SameZone = true,
          .MaxInFlight = 3,
          .TypicalServiceTime = milliseconds(20)};
}

MemberCandidate primary() {
  MemberCandidate Each = replica("primary");
  Each.Primary = true;
  Each.UsablePrimary = true;
  return Each;
}

Placement place(const std::vector<MemberCandidate> &Candidates,
                const PlacementRequirements &Requirements) {
  return placeStatement(Candidates, Requirements, {}, Now);
}

TEST(Placement, WritesRunOnlyAtAUsablePrimary) {
  std::vector<MemberCandidate> Candidates{replica("a"), primary()};
  EXPECT_EQ(place(Candidates, {.Primary = true}).Index, 1U);
  Candidates[1].UsablePrimary = false;
  EXPECT_EQ(place(Candidates, {.Primary = true}).Status,
            PlacementStatus::NoMember);
}

TEST(Placement, PrimaryWithoutLeaseServesNoReads) {
  std::vector<MemberCandidate> Candidates{primary()};
  Candidates[0].UsablePrimary = false;
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Status,
            PlacementStatus::NoMember);
}

TEST(Placement, ReadsPreferReplicasOverThePrimary) {
  std::vector<MemberCandidate> Candidates{primary(), replica("a")};
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Index,
            1U);
}

/// Replays the load test "horas-lima-grown trouble-1" from 7.6 s: one replica
/// fails half of its statements, at once, while its health check succeeds.
TEST(Placement, ReadsAvoidAReplicaThatFailsThem) {
  std::vector<MemberCandidate> Candidates{replica("a"), replica("b")};
  Candidates[0].TypicalServiceTime = milliseconds(15);
  PlacementRequirements Read{.Primary = false, .MinPosition = Ten};
  EXPECT_EQ(place(Candidates, Read).Index, 0U);
  Candidates[0].FailureRate = 0.5;
  EXPECT_EQ(place(Candidates, Read).Index, 1U);
  // It still serves what the other one has no room for.
  Candidates[0].FailureRate = 1;
  Candidates[1].InFlight = Candidates[1].MaxInFlight;
  EXPECT_EQ(place(Candidates, Read).Index, 0U);
}

/// The instance keeps its links at one replica, so that the next statement
/// finds one there.
TEST(Placement, NewConnectionsGoToThePreferredReplica) {
  std::vector<MemberCandidate> Candidates{replica("a"), replica("b")};
  PlacementRequirements Read{.Primary = false, .MinPosition = Ten};
  for (auto &Each : Candidates)
    Each.HasIdleConnection = false;
  Candidates[0].Preferred = false;
  Candidates[0].TypicalServiceTime = milliseconds(10);
  EXPECT_EQ(place(Candidates, Read).Index, 1U);
  // An idle connection is used wherever it is.
  Candidates[0].HasIdleConnection = true;
  EXPECT_EQ(place(Candidates, Read).Index, 0U);
  // A preferred replica that is much slower isn't waited for.
  Candidates[0].HasIdleConnection = false;
  Candidates[1].TypicalServiceTime = milliseconds(80);
  EXPECT_EQ(place(Candidates, Read).Index, 0U);
}

TEST(Placement, WithoutRequiredPositionOnlyThePrimaryServesReads) {
  std::vector<MemberCandidate> Candidates{replica("a"), primary()};
  EXPECT_EQ(place(Candidates, {.Primary = false}).Index, 1U);
}

TEST(Placement, LaggingReplicaServesOnlyPositionsItIsKnownToReach) {
  std::vector<MemberCandidate> Candidates{replica("a")};
  Candidates[0].LaggingUntil = Now + milliseconds(1);
  Candidates[0].Reached = Ten;
  Candidates[0].MissingPosition = Twenty;
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Twenty}).Status,
            PlacementStatus::NoMember);
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Status,
            PlacementStatus::Place);
}

/// Guards against replicas being excluded from all reads because they lag for
/// some. Seen in the load test "grown chechia scale-2": sessions that had just
/// written found the replicas lagging, and reads of older data avoided them,
/// too.
TEST(Placement, LaggingReplicaStillServesReadsOfOlderData) {
  std::vector<MemberCandidate> Candidates{replica("a")};
  Candidates[0].LaggingUntil = Now + milliseconds(1);
  Candidates[0].MissingPosition = Twenty;
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Status,
            PlacementStatus::Place);
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Twenty}).Status,
            PlacementStatus::NoMember);
}

TEST(Placement, ChoosesMemberWithLowestExpectedTime) {
  std::vector<MemberCandidate> Candidates{replica("a"), replica("b")};
  Candidates[0].InFlight = 2;
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Index,
            1U);
  // A slow member is not chosen although it is idle.
  Candidates[1].TypicalServiceTime = milliseconds(100);
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Index,
            0U);
}

TEST(Placement, PrefersOwnZoneAmongEquals) {
  std::vector<MemberCandidate> Candidates{replica("a"), replica("b")};
  Candidates[0].SameZone = false;
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Index,
            1U);
}

/// Guards against a connection being opened for each read, as on the load test
/// "sabedge large": with a statement every few seconds, an instance seldom
/// found an idle connection at the replica that it chose.
TEST(Placement, PrefersTheReplicaWithAnIdleConnection) {
  std::vector<MemberCandidate> Candidates{replica("a"), replica("b")};
  Candidates[0].HasIdleConnection = false;
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Index,
            1U);
  // It even pays to cross to another zone.
  Candidates[1].SameZone = false;
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Index,
            1U);
}

TEST(Placement, OpensAConnectionToAReplicaRatherThanReadAtThePrimary) {
  std::vector<MemberCandidate> Candidates{primary(), replica("a")};
  Candidates[1].HasIdleConnection = false;
  Candidates[1].SameZone = false;
  EXPECT_EQ(place(Candidates, {.Primary = false, .MinPosition = Ten}).Index,
            1U);
}

TEST(Placement, WaitsForAFullMemberButNotForAnExcludedOne) {
  std::vector<MemberCandidate> Candidates{primary()};
  Candidates[0].InFlight = 3;
  EXPECT_EQ(place(Candidates, {.Primary = true}).Status, PlacementStatus::Wait);
  Candidates[0].Excluded = true;
  EXPECT_EQ(place(Candidates, {.Primary = true}).Status,
            PlacementStatus::NoMember);
}

} // namespace
} // namespace turmericpitch
