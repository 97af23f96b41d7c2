// When the owner table is read from the store.
#include "limits/OwnerTableReads.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start(seconds(100));

/// Reads within Length by an instance that finds no table.
int readsWithoutTable(bool IsKeeper, Duration Length) {
  OwnerTableKnowledge Known{.IsKeeper = IsKeeper};
  int Reads = 0;
  for (TimePoint Now = Start; Now < Start + Length; Now += milliseconds(100)) {
    if (!isOwnerTableReadDue({}, Known, Now))
      continue;
    ++Reads;
    Known.ReadAt = Now;
    Known.ConfirmedAt = Now;
  }
  return Reads;
}

TEST(OwnerTableReads, TheFirstReadIsDueAtOnce) {
  EXPECT_TRUE(isOwnerTableReadDue({}, {}, Start));
}

/// All instances of a fleet start together. The store takes a limited number of
/// calls, and the first table is written after a few seconds.
TEST(OwnerTableReads, OnlyKeepersWaitForTheFirstTableAtTheStore) {
  EXPECT_EQ(readsWithoutTable(true, seconds(4)), 4);
  EXPECT_EQ(readsWithoutTable(false, seconds(4)), 1);
}

/// One that reaches no keeper finds the first table by itself.
TEST(OwnerTableReads, AnInstanceWithoutKeeperLooksForTheFirstTable) {
  EXPECT_EQ(readsWithoutTable(false, seconds(11)), 3);
}

TEST(OwnerTableReads, ANewerTableIsReadAtOnce) {
  OwnerTableKnowledge Known{
      .ReadAt = Start, .ConfirmedAt = Start, .NewerKnown = true};
  EXPECT_TRUE(isOwnerTableReadDue({}, Known, Start));
}

TEST(OwnerTableReads, OthersReadOnlyWhatKeepersNoLongerConfirm) {
  OwnerTableKnowledge Known{
      .ReadAt = Start, .ConfirmedAt = Start + seconds(20), .Exists = true};
  EXPECT_FALSE(isOwnerTableReadDue({}, Known, Start + seconds(40)));
  EXPECT_TRUE(isOwnerTableReadDue({}, Known, Start + seconds(45)));
  Known.IsKeeper = true;
  EXPECT_TRUE(isOwnerTableReadDue({}, Known, Start + seconds(10)));
}

} // namespace
} // namespace turmericpitch
