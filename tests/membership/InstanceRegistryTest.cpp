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
