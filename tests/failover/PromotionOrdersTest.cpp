// What the orders for a promotion allow.
#include "failover/PromotionOrders.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr PromotionOrdersOptions Options;
const TimePoint Ordered{std::chrono::hours(1)};

GivenOrder orderOf(const char *Target, OrderFate Fate) {
  return {
      .Target = {Target}, .Fate = Fate, .Before = Term{2}, .EndedAt = Ordered};
}

TermReport leader(const char *Member, std::uint64_t Newest) {
  return {.Member = {Member}, .Leads = true, .Newest = {Newest}};
}

PromotionOrders ordered(std::vector<GivenOrder> All) {
  PromotionOrders Orders;
  for (GivenOrder &Each : All)
    Orders.add(std::move(Each));
  return Orders;
}

// A member that led an older term all along counted as promoted (review/6).
TEST(PromotionOrders, OnlyANewerTermShowsAPromotion) {
  PromotionOrders Orders = ordered({orderOf("b", OrderFate::Taken)});
  EXPECT_FALSE(Orders.isInEffect(leader("b", 1)));
  EXPECT_FALSE(Orders.isInEffect(leader("b", 2)));
  EXPECT_TRUE(Orders.isInEffect(leader("b", 3)));
  EXPECT_FALSE(Orders.isInEffect(leader("c", 3)));
  EXPECT_FALSE(
      Orders.isInEffect({.Member = {"b"}, .Leads = false, .Newest = {3}}));
}

TEST(PromotionOrders, RefusedAndUnsentOrdersShowNoPromotion) {
  PromotionOrders Orders = ordered(
      {orderOf("b", OrderFate::Refused), orderOf("b", OrderFate::NotSent)});
  EXPECT_FALSE(Orders.decisive());
  EXPECT_FALSE(Orders.isInEffect(leader("b", 3)));
}

// The platform changes nothing for the member that is primary already.
TEST(PromotionOrders, PresentPrimaryShowsNoNewerTerm) {
  PromotionOrders Orders = ordered({orderOf("b", OrderFate::Taken)});
  TermReport Report = leader("b", 2);
  Report.AskedAt = Ordered + Options.EffectTimeout - milliseconds(1);
  EXPECT_FALSE(Orders.isInEffect(Report));
  Report.AskedAt = Ordered + Options.EffectTimeout;
  EXPECT_TRUE(Orders.isInEffect(Report));
  // Without an answer, the order may not have arrived.
  Orders = ordered({orderOf("b", OrderFate::Unknown)});
  EXPECT_FALSE(Orders.isInEffect(Report));
}

TEST(PromotionOrders, NewestOrderThatMayHaveBeenTakenDecides) {
  PromotionOrders Orders =
      ordered({orderOf("b", OrderFate::Taken), orderOf("c", OrderFate::Unknown),
               orderOf("a", OrderFate::Refused)});
  ASSERT_TRUE(Orders.decisive());
  EXPECT_EQ(Orders.decisive()->Target, UpstreamId{"c"});
  EXPECT_FALSE(Orders.isInEffect(leader("b", 3)));
  EXPECT_TRUE(Orders.isInEffect(leader("c", 3)));
}

TEST(PromotionOrders, OrderOfAnEarlierBuildTellsNoTerm) {
  PromotionOrders Orders = ordered({{.Target = {"b"}}});
  EXPECT_FALSE(Orders.isInEffect(leader("b", 3)));
}

// A primary that was to hand over was kept although its successor had been
// ordered (review/12), and so was one after another order was refused
// (review/11).
TEST(PromotionOrders, FormerPrimaryIsNotKeptOnceAnOrderMayHaveBeenTaken) {
  std::vector<TermReport> Reports{leader("a", 2)};
  EXPECT_TRUE(PromotionOrders().mayKeep({"a"}, Reports));
  EXPECT_TRUE(ordered({orderOf("b", OrderFate::Refused),
                       orderOf("b", OrderFate::NotSent)})
                  .mayKeep({"a"}, Reports));
  EXPECT_FALSE(ordered({orderOf("b", OrderFate::Taken),
                        orderOf("c", OrderFate::Refused)})
                   .mayKeep({"a"}, Reports));
  EXPECT_FALSE(
      ordered({orderOf("b", OrderFate::Unknown)}).mayKeep({"a"}, Reports));
  // An order of another promoter, whose target isn't known.
  EXPECT_FALSE(ordered({GivenOrder{}}).mayKeep({"a"}, Reports));
}

// An order that nobody remembers may have made another member primary.
TEST(PromotionOrders, FormerPrimaryIsNotKeptBesideANewerLeader) {
  std::vector<TermReport> Reports{leader("a", 2), leader("b", 1)};
  EXPECT_TRUE(PromotionOrders().mayKeep({"a"}, Reports));
  Reports[1] = leader("b", 3);
  EXPECT_FALSE(PromotionOrders().mayKeep({"a"}, Reports));
  Reports = {leader("b", 1)};
  EXPECT_FALSE(PromotionOrders().mayKeep({"a"}, Reports));
  EXPECT_TRUE(PromotionOrders().mayKeep({"a"}, {}));
  Reports = {{.Member = {"a"}, .Leads = false, .Newest = {2}}};
  EXPECT_FALSE(PromotionOrders().mayKeep({"a"}, Reports));
}

TEST(PromotionOrders, NoOrderIsGivenWhileAnotherMayTakeEffect) {
  PromotionOrders Orders = ordered(
      {orderOf("b", OrderFate::Taken), orderOf("c", OrderFate::Refused)});
  EXPECT_EQ(Orders.nextOrderAt({"a"}), Ordered + Options.EffectTimeout);
  EXPECT_LT(Orders.nextOrderAt({"b"}), Ordered);
  EXPECT_EQ(ordered({{.Target = {}, .EndedAt = Ordered}}).nextOrderAt({}),
            Ordered + Options.EffectTimeout);
}

} // namespace
} // namespace turmericpitch
