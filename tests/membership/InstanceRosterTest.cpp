#include "membership/InstanceRoster.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

RosterEntry entry(std::string Id, std::string Zone) {
  return {.Id = {std::move(Id)},
          .Peers = {.Address = "10.0.0.1", .Port = 7440},
          .Zone = {std::move(Zone)}};
}

TEST(InstanceRoster, CountsItself) {
  InstanceRoster Roster({"b"});
  EXPECT_EQ(Roster.count(), 1U);
  Roster.onListing({entry("c", "y"), entry("a", "x")}, at(0));
  EXPECT_FALSE(Roster.listsSelf());
  EXPECT_EQ(Roster.count(), 3U);
  Roster.onListing({entry("c", "y"), entry("a", "x"), entry("b", "x")}, at(1));
  EXPECT_TRUE(Roster.anyOutside({"x"}));
}

// Instances are restarted one after the other; those that came lately may not
// replace a primary, and nobody should wait for them.
TEST(InstanceRoster, TellsThoseThatCameLately) {
  InstanceRoster Roster({"a"});
  RosterEntry First = entry("b", "x");
  Roster.onListing({entry("a", "x"), First}, at(1000));
  EXPECT_FALSE(Roster.isNew({"b"}, milliseconds(8000), at(1000)));
  First.Stored = {9};
  Roster.onListing({entry("a", "x"), First}, at(2000));
  EXPECT_TRUE(Roster.isNew({"b"}, milliseconds(8000), at(9999)));
  Roster.onListing({entry("a", "x"), First}, at(5000));
  EXPECT_FALSE(Roster.isNew({"b"}, milliseconds(8000), at(10'000)));
  EXPECT_FALSE(Roster.isNew({"c"}, milliseconds(8000), at(10'000)));
}

TEST(InstanceRoster, EntriesSurviveTheirEncoding) {
  RosterEntry Entry = entry("a", "x");
  auto Decoded = toOutcome([&] {
    return decodeRosterEntry({.Key = std::string(InstancesPrefix) + "a",
                              .Value = encodeRosterEntry(Entry),
                              .Modified = {7}});
  });
  ASSERT_TRUE(Decoded);
  Entry.Stored = {7};
  EXPECT_EQ(Decoded.value(), Entry);
  auto Broken = toOutcome([&] {
    return decodeRosterEntry({.Key = "x", .Value = "{", .Modified = {}});
  });
  EXPECT_FALSE(Broken);
}

} // namespace
} // namespace turmericpitch
