#include "routing/MemberRegistry.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

RegisteredMember member(std::string Id, std::uint16_t Port = 1) {
  return {.Id = {std::move(Id)},
          .Service = {"ledger"},
          .Where = {.Address = "10.0.0.1", .Port = Port},
          .Zone = {"a"}};
}

TEST(MemberRegistry, ReportsChangesBetweenListings) {
  MemberRegistry Registry;
  EXPECT_FALSE(Registry.loaded());
  auto First = Registry.onListing({member("a"), member("b")}, at(1000));
  EXPECT_EQ(First.Added.size(), 2U);
  auto Second = Registry.onListing({member("a", 2), member("c")}, at(2000));
  ASSERT_EQ(Second.Changed.size(), 1U);
  EXPECT_EQ(Second.Changed[0].Where.Port, 2);
  ASSERT_EQ(Second.Added.size(), 1U);
  ASSERT_EQ(Second.Removed.size(), 1U);
  EXPECT_EQ(Second.Removed[0].Id.Value, "b");
  EXPECT_TRUE(
      Registry.onListing({member("a", 2), member("c")}, at(3000)).empty());
}

TEST(MemberRegistry, ReportsRestartedMemberAsChanged) {
  MemberRegistry Registry;
  Registry.onListing({member("a")}, at(1000));
  RegisteredMember Restarted = member("a");
  Restarted.StartedAt = 7;
  EXPECT_EQ(Registry.onListing({Restarted}, at(2000)).Changed.size(), 1U);
}

TEST(MemberRegistry, KeepsMissingMembersForAWhileAfterAnOutage) {
  MemberRegistry Registry;
  Registry.onListing({member("a"), member("b")}, at(1000));
  // The listing was unavailable for 4 s and returns without b.
  EXPECT_TRUE(Registry.onListing({member("a")}, at(5000)).Removed.empty());
  EXPECT_NE(Registry.find({"b"}), nullptr);
  EXPECT_TRUE(Registry.onListing({member("a")}, at(7400)).Removed.empty());
  EXPECT_EQ(Registry.onListing({member("a")}, at(7600)).Removed.size(), 1U);
  EXPECT_EQ(Registry.find({"b"}), nullptr);
}

TEST(MemberRegistry, KeepsDrainingStateDuringAnOutage) {
  MemberRegistry Registry;
  RegisteredMember Draining = member("a");
  Draining.Draining = true;
  Registry.onListing({Draining}, at(1000));
  Registry.onListing({}, at(5000));
  ASSERT_NE(Registry.find({"a"}), nullptr);
  EXPECT_TRUE(Registry.find({"a"})->Draining);
}

} // namespace
} // namespace turmericpitch
