#include "failover/FailoverActivities.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

const ServiceId Ledger{"ledger"};
const ServiceId Other{"other"};

/// Found by reading, load test "horas-lima scale-1" from 33.5 s: each of four
/// instances checked its lost primaries for 1 s of every 1.5 s, as the store
/// was silent, and granted nothing meanwhile.
TEST(FailoverActivities, AnInstanceThatOnlyChecksGrants) {
  FailoverActivities Activities;
  EXPECT_TRUE(Activities.mayGrant(Ledger));
  Activities.begin(Ledger, FailoverStep::Checking);
  EXPECT_TRUE(Activities.isActive(Ledger));
  EXPECT_TRUE(Activities.mayGrant(Ledger));
}

TEST(FailoverActivities, AnInstanceThatMayHaveClosedTheRecordGrantsNothing) {
  FailoverActivities Activities;
  Activities.begin(Ledger, FailoverStep::Checking);
  Activities.begin(Ledger, FailoverStep::Changing);
  EXPECT_FALSE(Activities.mayGrant(Ledger));
  EXPECT_TRUE(Activities.mayGrant(Other));
  Activities.end(Ledger);
  EXPECT_TRUE(Activities.mayGrant(Ledger));
  EXPECT_TRUE(Activities.empty());
}

} // namespace
} // namespace turmericpitch
