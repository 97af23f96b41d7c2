// Searches random histories of orders for a write at a primary that another
// promotion has superseded.
#include "tests/failover/PromotionOrderModel.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

constexpr std::uint64_t Seeds = 10'000;
/// Some violations need several rare events.
constexpr std::uint64_t FaultSeeds = 2 * Seeds;

struct OrderModelCase {
  const char *Name = "";
  PromotionOrderModelOptions Options;
};

std::string nameOf(const testing::TestParamInfo<OrderModelCase> &Info) {
  return Info.param.Name;
}

class PromotionModelOrderTest : public testing::TestWithParam<OrderModelCase> {
};

TEST_P(PromotionModelOrderTest, NoSupersededPrimaryIsWrittenTo) {
  PromotionOrderEvents Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    PromotionOrderModel Model(Seed, this->GetParam().Options);
    auto Broken = Model.run();
    ASSERT_FALSE(Broken) << "seed " << Seed << ": " << *Broken;
    Sum.Kept += Model.events().Kept;
    Sum.Promotions += Model.events().Promotions;
    Sum.Renewals += Model.events().Renewals;
    Sum.Refusals += Model.events().Refusals;
    Sum.LostOrders += Model.events().LostOrders;
    Sum.TakeOvers += Model.events().TakeOvers;
    Sum.Unseen += Model.events().Unseen;
  }
  // The search must actually cover these events.
  constexpr int Enough = static_cast<int>(Seeds);
  EXPECT_GT(Sum.Kept, Enough / 10);
  EXPECT_GT(Sum.Promotions, Enough);
  EXPECT_GT(Sum.Renewals, Enough / 100);
  EXPECT_GT(Sum.Refusals, Enough / 10);
  EXPECT_GT(Sum.LostOrders, Enough / 10);
  EXPECT_GT(Sum.TakeOvers, Enough / 10);
  EXPECT_GT(Sum.Unseen, Enough / 10);
}

INSTANTIATE_TEST_SUITE_P(
    Values, PromotionModelOrderTest,
    testing::Values(OrderModelCase{"None", {}},
                    OrderModelCase{"OneOfTwo", {.SynchronousReplicas = 1}},
                    OrderModelCase{"All", {.SynchronousReplicas = 2}}),
    nameOf);

class PromotionModelOrderFaultTest
    : public testing::TestWithParam<OrderModelCase> {};

TEST_P(PromotionModelOrderFaultTest, IsFound) {
  bool Found = false;
  for (std::uint64_t Seed = 1; Seed <= FaultSeeds && !Found; ++Seed)
    Found =
        PromotionOrderModel(Seed, this->GetParam().Options).run().has_value();
  EXPECT_TRUE(Found);
}

INSTANTIATE_TEST_SUITE_P(
    Conditions, PromotionModelOrderFaultTest,
    testing::Values(
        OrderModelCase{"KeepsDespiteOrders",
                       {.Fault = OrderFault::KeepsDespiteOrders}},
        OrderModelCase{"ForgetsOrdersAfterRefusal",
                       {.Fault = OrderFault::ForgetsOrdersAfterRefusal}},
        OrderModelCase{"ForgetsInheritedOrders",
                       {.Fault = OrderFault::ForgetsInheritedOrders}},
        OrderModelCase{"ForgetsLostOrders",
                       {.Fault = OrderFault::ForgetsLostOrders}},
        OrderModelCase{"CountsAnyLeader",
                       {.Fault = OrderFault::CountsAnyLeader}},
        OrderModelCase{"TrustsOldLeadersAtOnce",
                       {.Fault = OrderFault::TrustsOldLeadersAtOnce}},
        OrderModelCase{"TrustsLostOrders",
                       {.Fault = OrderFault::TrustsLostOrders}},
        OrderModelCase{"OrdersAtOnce", {.Fault = OrderFault::OrdersAtOnce}}),
    nameOf);

} // namespace
} // namespace turmericpitch
