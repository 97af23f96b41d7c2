#include "failover/PrimaryRights.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const ServiceId Service{"ledger"};

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

PrimaryRecord record(std::uint64_t Epoch, PrimaryPhase Phase,
                     std::uint64_t Revision) {
  return {.Service = Service,
          .Epoch = Epoch,
          .Primary = {"m" + std::to_string(Epoch)},
          .Phase = Phase,
          .Stored = {Revision}};
}

TEST(PrimaryRights, ARightLastsFromTheReadThatShowedThePrimary) {
  PrimaryRights Rights;
  EXPECT_FALSE(Rights.right(Service));
  Rights.onRecord(record(1, PrimaryPhase::Open, 5), at(1000));
  EXPECT_EQ(Rights.right(Service)->Until, at(1800));
  Rights.onRecord(record(1, PrimaryPhase::Open, 5), at(1250));
  EXPECT_EQ(Rights.right(Service)->Until, at(2050));
}

// A hand-over under load: statements that are under way, and those that come
// until the right ends, need not be refused.
TEST(PrimaryRights, AClosingLeavesTheRightOfTheReadBefore) {
  PrimaryRights Rights;
  Rights.onRecord(record(1, PrimaryPhase::Open, 5), at(1000));
  Rights.onRecord(record(1, PrimaryPhase::Closing, 6), at(1100));
  EXPECT_EQ(Rights.right(Service)->Until, at(1800));
  EXPECT_TRUE(Rights.right(Service)->Ending);
  // Neither a later read nor the order renews it.
  Rights.onRecord(record(1, PrimaryPhase::Closing, 6), at(1700));
  Rights.onRecord(record(1, PrimaryPhase::Ordered, 7), at(1750));
  EXPECT_EQ(Rights.right(Service)->Until, at(1800));
  Rights.extend(Service, 1, at(9000));
  EXPECT_EQ(Rights.right(Service)->Until, at(1800));
}

TEST(PrimaryRights, AClosingSeenFirstGivesNoRight) {
  PrimaryRights Rights;
  Rights.onRecord(record(1, PrimaryPhase::Closing, 6), at(1000));
  EXPECT_FALSE(Rights.right(Service));
  // The opening of the reign before was missed.
  Rights.onRecord(record(2, PrimaryPhase::Closing, 9), at(1100));
  EXPECT_FALSE(Rights.right(Service));
}

TEST(PrimaryRights, ANewReignEndsTheRightToTheOld) {
  PrimaryRights Rights;
  Rights.onRecord(record(1, PrimaryPhase::Open, 5), at(1000));
  Rights.onRecord(record(2, PrimaryPhase::Closing, 9), at(1100));
  EXPECT_FALSE(Rights.right(Service));
  Rights.onRecord(record(2, PrimaryPhase::Open, 8), at(1200));
  EXPECT_FALSE(Rights.right(Service));
  Rights.onRecord(record(3, PrimaryPhase::Open, 10), at(1300));
  EXPECT_EQ(Rights.right(Service)->Primary.Value, "m3");
}

} // namespace
} // namespace turmericpitch
