#include "failover/FirstRecordWait.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

constexpr Duration Interval = std::chrono::seconds(4);
const TimePoint Start(std::chrono::seconds(100));

TEST(FirstRecordWait, FirstReadIsMadeAtOnce) {
  EXPECT_FALSE(awaitsFirstRecord({}, Interval, Start));
}

TEST(FirstRecordWait, EmptyStoreIsReadAgainOnlyAfterTheInterval) {
  FirstRecordView Seen{.FoundNoneAt = Start};
  EXPECT_TRUE(awaitsFirstRecord(Seen, Interval, Start));
  EXPECT_TRUE(
      awaitsFirstRecord(Seen, Interval, Start + Interval - Duration(1)));
  EXPECT_FALSE(awaitsFirstRecord(Seen, Interval, Start + Interval));
}

/// The reader has to renew the lease that the first record gives.
TEST(FirstRecordWait, KnownRecordEndsTheWait) {
  FirstRecordView Seen{.AnyRecord = true, .FoundNoneAt = Start};
  EXPECT_FALSE(awaitsFirstRecord(Seen, Interval, Start));
}

/// The start of 91 instances that each take themselves for the reader, with
/// the first record written after 1.5 s: one read each, not six.
TEST(FirstRecordWait, StartOfAFleetReadsTheEmptyStoreOnceEach) {
  constexpr int Instances = 91;
  constexpr Duration Step = std::chrono::milliseconds(250);
  const TimePoint Written = Start + 6 * Step;
  int Reads = 0;
  for (int Instance = 0; Instance < Instances; ++Instance) {
    FirstRecordView Seen;
    for (TimePoint Now = Start; Now < Written; Now += Step) {
      if (awaitsFirstRecord(Seen, Interval, Now))
        continue;
      ++Reads;
      Seen.FoundNoneAt = Now;
    }
  }
  EXPECT_EQ(Reads, Instances);
}

} // namespace
} // namespace turmericpitch
