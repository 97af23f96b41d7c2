#include "failover/ReplicaBacklogMonitor.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr Duration LoosestAge = milliseconds(2500);

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

TermPosition position(std::uint64_t Index) {
  return {.WrittenIn = {1}, .Position = {Index}};
}

/// Reports from a larger deployment: both replicas have an apply delay of about
/// 30 s, and 47 statements are at a primary that runs six concurrently.
std::vector<MemberBacklog> overloadedService() {
  return {{.Id = {"m1"},
           .Primary = true,
           .Received = position(118),
           .StatementCount = 47,
           .Slots = 6},
          {.Id = {"m2"},
           .Received = position(116),
           .ApplyDelay = milliseconds(31'448),
           .StatementCount = 3,
           .Slots = 6},
          {.Id = {"m3"},
           .Received = position(116),
           .ApplyDelay = milliseconds(28'770),
           .StatementCount = 1,
           .Slots = 6}};
}

TEST(ReplicaBacklogMonitor, OverloadedPrimaryHandsOverIfAllReplicasAreStale) {
  EXPECT_TRUE(
      ReplicaBacklogMonitor().shouldHandOver(overloadedService(), LoosestAge));
}

TEST(ReplicaBacklogMonitor, NoHandOverIfOneReplicaServesReads) {
  auto Reports = overloadedService();
  Reports[2].ApplyDelay = milliseconds(400);
  EXPECT_FALSE(ReplicaBacklogMonitor().shouldHandOver(Reports, LoosestAge));
}

/// A route that accepts older data is served by replicas that others can't use.
TEST(ReplicaBacklogMonitor, NoHandOverWhileARouteAcceptsTheBacklog) {
  EXPECT_FALSE(ReplicaBacklogMonitor().shouldHandOver(
      overloadedService(), std::chrono::seconds(30)));
}

TEST(ReplicaBacklogMonitor, NoHandOverForAShortBacklog) {
  auto Reports = overloadedService();
  Reports[1].ApplyDelay = milliseconds(4000);
  Reports[2].ApplyDelay = milliseconds(4900);
  EXPECT_FALSE(ReplicaBacklogMonitor().shouldHandOver(Reports, LoosestAge));
}

TEST(ReplicaBacklogMonitor, NoHandOverWithoutOverload) {
  auto Reports = overloadedService();
  Reports[0].StatementCount = 6;
  EXPECT_FALSE(ReplicaBacklogMonitor().shouldHandOver(Reports, LoosestAge));
  Reports[0].StatementCount = 7;
  EXPECT_TRUE(ReplicaBacklogMonitor().shouldHandOver(Reports, LoosestAge));
}

// Promoting a replica that lacks entries would lose acknowledged commits.
TEST(ReplicaBacklogMonitor, NoHandOverToAReplicaThatLacksEntries) {
  auto Reports = overloadedService();
  Reports[0].Received = position(400);
  EXPECT_FALSE(ReplicaBacklogMonitor().shouldHandOver(Reports, LoosestAge));
  Reports[1].Received = {.WrittenIn = {0}, .Position = {400}};
  EXPECT_FALSE(ReplicaBacklogMonitor().shouldHandOver(Reports, LoosestAge));
}

TEST(ReplicaBacklogMonitor, NoHandOverWithoutAReportOfThePrimary) {
  auto Reports = overloadedService();
  Reports.erase(Reports.begin());
  EXPECT_FALSE(ReplicaBacklogMonitor().shouldHandOver(Reports, LoosestAge));
}

TEST(ReplicaBacklogMonitor, QueriesAfterReadsWereUnavailableForTheDelay) {
  ReplicaBacklogMonitor Monitor;
  EXPECT_FALSE(Monitor.needsReports(true, 0, at(1000)));
  EXPECT_FALSE(Monitor.needsReports(true, 0, at(1500)));
  EXPECT_TRUE(Monitor.needsReports(true, 0, at(1600)));
  EXPECT_FALSE(Monitor.needsReports(true, 0, at(2000)));
  EXPECT_TRUE(Monitor.needsReports(true, 0, at(2100)));
  EXPECT_FALSE(Monitor.needsReports(false, 0, at(2600)));
  EXPECT_FALSE(Monitor.needsReports(true, 0, at(2700)));
}

TEST(ReplicaBacklogMonitor, LaterRanksQueryLater) {
  ReplicaBacklogMonitor Monitor;
  EXPECT_FALSE(Monitor.needsReports(true, 2, at(0)));
  EXPECT_FALSE(Monitor.needsReports(true, 2, at(2500)));
  EXPECT_TRUE(Monitor.needsReports(true, 2, at(2600)));
}

} // namespace
} // namespace turmericpitch
