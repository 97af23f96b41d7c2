#include "membership/IsolationDetector.h"
#include "membership/InstanceRoster.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

OutsideView contactAt(int Milliseconds) {
  return {.ContactAt = at(Milliseconds), .OthersElsewhere = true};
}

TEST(IsolationDetector, WithoutContactTheInstanceIsCutOff) {
  IsolationDetector Detector;
  EXPECT_FALSE(Detector.look(contactAt(1000), at(1700)));
  EXPECT_TRUE(Detector.look(contactAt(1000), at(1701)));
  EXPECT_TRUE(Detector.isolated());
  EXPECT_EQ(Detector.lasting(at(2701)), milliseconds(1000));
}

TEST(IsolationDetector, ContactMustLastBeforeItIsBack) {
  IsolationDetector Detector;
  Detector.look(contactAt(1000), at(2000));
  Detector.look(contactAt(3000), at(3000));
  EXPECT_TRUE(Detector.isolated());
  EXPECT_TRUE(Detector.look(contactAt(3300), at(3300)));
  EXPECT_FALSE(Detector.isolated());
}

TEST(IsolationDetector, InOneZoneAloneThereIsNobodyBetter) {
  IsolationDetector Detector;
  OutsideView Alone{.ContactAt = at(1000), .OthersElsewhere = false};
  EXPECT_FALSE(Detector.look(Alone, at(9000)));
  EXPECT_FALSE(Detector.look({.OthersElsewhere = true}, at(9000)));
}

/// Recorded day inc-bee0: three of five instances heard one another, but
/// neither the store nor the other two.
TEST(IsolationDetector, TheSideWithoutRightsIsCutOffThoughItHearsOthers) {
  IsolationDetector Detector;
  OutsideView Side = contactAt(9990);
  Side.RightsLostAt = at(9000);
  EXPECT_FALSE(Detector.look(Side, at(10'000)));
  Side.OthersSilent = true;
  EXPECT_TRUE(Detector.look(Side, at(10'000)));
}

TEST(IsolationDetector, AStoreThatIsAwayForAllCutsNobodyOff) {
  IsolationDetector Detector;
  OutsideView Everyone = contactAt(9990);
  Everyone.RightsLostAt = at(5000);
  EXPECT_FALSE(Detector.look(Everyone, at(10'000)));
}

RosterEntry entry(std::string Id, std::string Zone) {
  return {.Id = {std::move(Id)},
          .Peers = {.Address = "10.0.0.1", .Port = 7440},
          .Zone = {std::move(Zone)}};
}

TEST(InstanceRoster, RanksByNameAndCountsItself) {
  InstanceRoster Roster({"b"});
  EXPECT_EQ(Roster.count(), 1U);
  Roster.onListing({entry("c", "y"), entry("a", "x")}, at(0));
  EXPECT_FALSE(Roster.listsSelf());
  EXPECT_EQ(Roster.rank(), 2U);
  EXPECT_EQ(Roster.count(), 3U);
  Roster.onListing({entry("c", "y"), entry("a", "x"), entry("b", "x")}, at(1));
  EXPECT_EQ(Roster.rank(), 1U);
  EXPECT_TRUE(Roster.anyOutside({"x"}));
}

TEST(InstanceRoster, EntriesSurviveTheirEncoding) {
  RosterEntry Entry = entry("a", "x");
  auto Decoded = keepOutcome([&] {
    return decodeRosterEntry({.Key = std::string(InstancesPrefix) + "a",
                              .Value = encodeRosterEntry(Entry),
                              .Modified = {7}});
  });
  ASSERT_TRUE(Decoded);
  Entry.Stored = {7};
  EXPECT_EQ(Decoded.value(), Entry);
  auto Broken = keepOutcome([&] {
    return decodeRosterEntry({.Key = "x", .Value = "{", .Modified = {}});
  });
  EXPECT_FALSE(Broken);
}

} // namespace
} // namespace turmericpitch
