// Each rule of the rights to shares on its own. ShareRightModelTest.cpp
// searches their interleavings.
#include "limits/ShareRight.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::seconds;

const InstanceId A{"a"};
const InstanceId B{"b"};
const InstanceId C{"c"};
constexpr ShareRightOptions Options;
constexpr Duration RightLength = Options.Validity + Options.Margin;

TimePoint at(int Seconds) { return TimePoint(seconds(Seconds)); }

OwnerTable tableOf(std::uint64_t Epoch, std::vector<InstanceId> Owners,
                   std::vector<InstanceId> Previous) {
  return {.Epoch = Epoch,
          .Owners = std::move(Owners),
          .PreviousOwners = std::move(Previous)};
}

TEST(ShareRight, ARightEndsAfterTheSendingOfItsRead) {
  ShareRight Right(A, Options);
  EXPECT_EQ(Right.share(at(0)), 0);
  Right.onRead(tableOf(1, {A, B}, {A, B}), {5}, at(0), at(3));
  EXPECT_DOUBLE_EQ(Right.share(at(3)), 0.5);
  EXPECT_DOUBLE_EQ(Right.share(at(59)), 0.5);
  EXPECT_EQ(Right.share(at(60)), 0);
  Right.onConfirmed(1, {5}, at(30));
  EXPECT_DOUBLE_EQ(Right.share(at(89)), 0.5);
  EXPECT_EQ(Right.share(at(90)), 0);
}

TEST(ShareRight, OtherTablesConfirmNothing) {
  ShareRight Right(A, Options);
  Right.onConfirmed(1, {5}, at(0));
  EXPECT_FALSE(Right.readSentAt());
  Right.onRead(tableOf(1, {A, B}, {A, B}), {5}, at(0), at(0));
  Right.onConfirmed(2, {5}, at(30));
  Right.onConfirmed(1, {6}, at(30));
  EXPECT_EQ(Right.share(at(60)), 0);
}

TEST(ShareRight, AShareShrinksAtOnceAndGrowsOnceOlderRightsHaveExpired) {
  ShareRight Right(A, Options);
  Right.onRead(tableOf(2, {A}, {A, B}), {5}, at(0), at(0));
  EXPECT_DOUBLE_EQ(Right.share(at(0)), 0.5);
  TimePoint Grown = at(0) + 2 * RightLength;
  Right.onConfirmed(2, {5}, Grown - seconds(2));
  EXPECT_DOUBLE_EQ(Right.share(Grown - seconds(1)), 0.5);
  EXPECT_DOUBLE_EQ(Right.share(Grown), 1);
  Right.onRead(tableOf(3, {A, B, C}, {A}), {9}, Grown, Grown);
  EXPECT_DOUBLE_EQ(Right.share(Grown), 1.0 / 3);
}

/// The read that was sent first may have waited in the store while another
/// instance read the table before. If the table were known since its sending,
/// the next one would follow while that other right lasts.
TEST(ShareRight, ATableIsKnownFromTheReceiptOfItsRead) {
  ShareRight Other(C, Options);
  Other.onRead(tableOf(1, {C}, {C}), {5}, at(99), at(99));
  ShareRight Right(A, Options);
  Right.onRead(tableOf(2, {A, B}, {C}), {9}, at(60), at(101));
  Right.onConfirmed(2, {9}, at(130));
  EXPECT_FALSE(Right.proposeChange({A}, at(101)));
  for (TimePoint Now = at(102); Other.share(Now) > 0; Now += seconds(1))
    EXPECT_FALSE(Right.proposeChange({A}, Now));
  EXPECT_TRUE(Right.proposeChange({A}, at(101) + RightLength));
}

TEST(ShareRight, AnUnreadableTableIsReplacedOnceAllRightsHaveExpired) {
  ShareRight Right(A, Options);
  Right.onRead(tableOf(4, {A, B}, {A, B}), {5}, at(0), at(0));
  Right.onUnreadable({9}, at(10));
  EXPECT_DOUBLE_EQ(Right.share(at(59)), 0.5);
  EXPECT_FALSE(Right.proposeChange({A, B}, at(10) + RightLength - seconds(1)));
  auto Next = Right.proposeChange({B, A}, at(10) + RightLength);
  EXPECT_EQ(Next, tableOf(5, {A, B}, {A, B}));
  EXPECT_EQ(Right.replaced(), Revision{9});
  // The one that writes it uses its share at once, as do the others.
  Right.onRead(*Next, {12}, at(80), at(80));
  EXPECT_DOUBLE_EQ(Right.share(at(80)), 0.5);
  EXPECT_EQ(Right.replaced(), Revision{12});
}

TEST(ShareRight, AnUnreadableTableIsReplacedByAnInstanceThatStarts) {
  ShareRight Right(A, Options);
  Right.onUnreadable({9}, at(0));
  Right.onUnreadable({9}, at(20));
  Right.onUnreadable({11}, at(30));
  EXPECT_FALSE(Right.proposeChange({A}, at(0) + RightLength));
  EXPECT_TRUE(Right.proposeChange({A}, at(30) + RightLength));
}

TEST(ShareRight, AnOlderReadIsIgnored) {
  ShareRight Right(A, Options);
  Right.onRead(tableOf(2, {A, B}, {A, B}), {9}, at(0), at(0));
  Right.onRead(tableOf(1, {A}, {A}), {5}, at(1), at(1));
  EXPECT_EQ(Right.table().Epoch, 2u);
}

/// Within one era, only a deletion by hand takes the table away.
TEST(ShareRight, ADeletedTableEndsTheRightAndIsReplacedOnceAllHaveExpired) {
  for (std::uint64_t Era : {0, 1}) {
    ShareRight Other(B, Options);
    ShareRight Right(A, Options);
    OwnerTable Table = tableOf(3, {A, B}, {A, B});
    Table.WrittenIn = {Era};
    for (ShareRight *Each : {&Other, &Right})
      Each->onRead(Table, positionInHistory({Era}, 9), at(0), at(0));
    Right.onRead({}, positionInHistory({Era}, 0), at(1), at(1));
    EXPECT_EQ(Right.table().Epoch, 0U);
    EXPECT_EQ(Right.share(at(1)), 0);
    EXPECT_EQ(Right.stored(), positionInHistory({Era}, 0));
    for (TimePoint Now = at(1); Other.share(Now) > 0; Now += seconds(1))
      EXPECT_FALSE(Right.proposeChange({A, B}, Now));
    auto Next = Right.proposeChange({A, B}, at(1) + RightLength);
    ASSERT_TRUE(Next);
    EXPECT_EQ(Next->Epoch, 1U);
    EXPECT_EQ(Next->WrittenIn, StoreEra{Era});
  }
}

TEST(ShareRight, TheFirstTableWaitsForAStableList) {
  ShareRight Right(A, Options);
  EXPECT_FALSE(Right.proposeChange({A, B}, at(0)));
  Right.onRead({}, {4}, at(0), at(0));
  EXPECT_FALSE(Right.proposeChange({A}, at(1)));
  EXPECT_FALSE(Right.proposeChange({A, B}, at(2)));
  Right.onRead({}, {8}, at(3), at(3));
  auto First = Right.proposeChange({B, A, A}, at(4));
  EXPECT_EQ(First, tableOf(1, {A, B}, {A, B}));
}

TEST(ShareRight, AnOwnerThatRestartsKeepsItsShare) {
  ShareRight Right(A, Options);
  Right.onRead(tableOf(1, {A, B}, {A, B}), {5}, at(0), at(0));
  EXPECT_FALSE(Right.proposeChange({A}, at(100)));
  EXPECT_FALSE(Right.proposeChange({A}, at(129)));
  EXPECT_FALSE(Right.proposeChange({A, B}, at(130)));
  EXPECT_FALSE(Right.proposeChange({A}, at(140)));
  EXPECT_EQ(Right.proposeChange({A}, at(170)), tableOf(2, {A}, {A, B}));
  EXPECT_FALSE(Right.proposeChange({}, at(300)));
}

/// A restore may have lost a table by which others still have rights.
TEST(ShareRight, AnOlderCopyGivesNobodyMoreThanBefore) {
  Revision Restored = positionInHistory({1}, 5);
  OwnerTable Copy = tableOf(1, {A}, {A});
  ShareRight Started(A, Options);
  Started.onRead(Copy, Restored, at(0), at(0));
  EXPECT_EQ(Started.share(at(1)), 0);
  ShareRight Known(A, Options);
  Known.onRead(tableOf(2, {A, B}, {A, B}), {9}, at(-1), at(-1));
  Known.onRead(Copy, Restored, at(0), at(0));
  EXPECT_DOUBLE_EQ(Known.share(at(1)), 0.5);
  // Its rewriting shows that the rights of the era before have expired.
  EXPECT_FALSE(Known.proposeChange({A}, at(0) + RightLength - seconds(1)));
  auto Next = Known.proposeChange({A}, at(0) + RightLength);
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->WrittenIn, StoreEra{1});
  Started.onRead(*Next, positionInHistory({1}, 6), at(70), at(70));
  EXPECT_DOUBLE_EQ(Started.share(at(70)), 1);
}

TEST(ShareRight, ALostTableIsReplacedOnceItsRightsHaveExpired) {
  ShareRight Started(A, Options);
  Started.onRead({}, positionInHistory({1}, 5), at(0), at(0));
  EXPECT_FALSE(Started.proposeChange({A}, at(0)));
  EXPECT_FALSE(Started.proposeChange({A}, at(10)));
  EXPECT_TRUE(Started.proposeChange({A}, at(0) + RightLength));
  ShareRight Known(A, Options);
  Known.onRead(tableOf(2, {A, B}, {A, B}), {9}, at(0), at(0));
  Known.onRead({}, {12}, at(1), at(1));
  EXPECT_EQ(Known.share(at(1)), 0);
  EXPECT_FALSE(Known.proposeChange({A}, at(1)));
  EXPECT_FALSE(Known.proposeChange({A}, at(10)));
}

} // namespace
} // namespace turmericpitch
