#include "membership/InstanceRegistry.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

RegisteredInstance instance(std::string Id, std::string Zone) {
  return {.Id = {std::move(Id)},
          .PeerEndpoint = {.Address = "10.0.0.1", .Port = 7440},
          .Zone = {std::move(Zone)}};
}

TEST(InstanceRegistry, CountsItselfWhenNotListed) {
  InstanceRegistry Registry({"b"});
  EXPECT_EQ(Registry.count(), 1U);
  Registry.onListing({instance("c", "y"), instance("a", "x")}, at(0));
  EXPECT_FALSE(Registry.listsSelf());
  EXPECT_EQ(Registry.count(), 3U);
  Registry.onListing(
      {instance("c", "y"), instance("a", "x"), instance("b", "x")}, at(1));
  EXPECT_TRUE(Registry.hasOtherZone({"x"}));
}

// Instances are restarted one after the other. Recently registered instances
// may not replace a primary, so other instances must not wait for them.
TEST(InstanceRegistry, DetectsRecentlyRegisteredInstances) {
  InstanceRegistry Registry({"a"});
  RegisteredInstance First = instance("b", "x");
  Registry.onListing({instance("a", "x"), First}, at(1000));
  EXPECT_FALSE(Registry.isNew({"b"}, milliseconds(8000), at(1000)));
  First.Stored = {9};
  Registry.onListing({instance("a", "x"), First}, at(2000));
  EXPECT_TRUE(Registry.isNew({"b"}, milliseconds(8000), at(9999)));
  Registry.onListing({instance("a", "x"), First}, at(5000));
  EXPECT_FALSE(Registry.isNew({"b"}, milliseconds(8000), at(10'000)));
  EXPECT_FALSE(Registry.isNew({"c"}, milliseconds(8000), at(10'000)));
}

TEST(InstanceRegistry, RegistrationsSurviveEncoding) {
  RegisteredInstance Instance = instance("a", "x");
  auto Decoded = toOutcome([&] {
    return decodeRegisteredInstance(
        {.Key = std::string(InstancesPrefix) + "a",
         .Value = encodeRegisteredInstance(Instance),
         .Modified = {7}});
  });
  ASSERT_TRUE(Decoded);
  Instance.Stored = {7};
  EXPECT_EQ(Decoded.value(), Instance);
  auto Broken = toOutcome([&] {
    return decodeRegisteredInstance({.Key = "x", .Value = "{", .Modified = {}});
  });
  EXPECT_FALSE(Broken);
}

} // namespace
} // namespace turmericpitch
