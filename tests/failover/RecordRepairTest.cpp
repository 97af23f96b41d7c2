// When and by what a primary record is replaced that another writer has made
// unreadable.
#include "failover/RecordRepair.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const ServiceId Ledger{"ledger"};
constexpr RecordRepairOptions Options;

TimePoint at(int Milliseconds) {
  return TimePoint(std::chrono::seconds(100) + milliseconds(Milliseconds));
}

PrimaryRecord known(std::uint64_t Epoch, std::uint64_t Stored) {
  PrimaryRecord Record;
  Record.Service = Ledger;
  Record.Epoch = Epoch;
  Record.Primary = {"m1"};
  Record.Stored = {Stored};
  return Record;
}

TEST(RecordRepair, KnownRecordIsClosedOnceNoOrderIsOnItsWay) {
  RecordRepair Repair;
  Repair.onListing({{Ledger, {9}}}, {known(3, 7)}, at(0));
  EXPECT_TRUE(Repair.isUnreadable(Ledger));
  // Later listings show the record no more.
  Repair.onListing({{Ledger, {9}}}, {}, at(1000));
  Duration Wait = Options.OrderTimeout;
  EXPECT_FALSE(Repair.replacement(Ledger, 0, at(0) + Wait - milliseconds(1)));
  EXPECT_FALSE(Repair.replacement(Ledger, 1, at(0) + Wait));
  auto Next = Repair.replacement(Ledger, 0, at(0) + Wait);
  ASSERT_TRUE(Next);
  // The lost record may have announced an order, of whom isn't known.
  EXPECT_EQ(Next->Phase, PrimaryPhase::Ordered);
  EXPECT_EQ(Next->Target, UpstreamId{});
  EXPECT_EQ(Next->KnownTerm, Term{});
  EXPECT_EQ(Next->Primary, UpstreamId{"m1"});
  EXPECT_EQ(Next->Stored, Revision{9});
  EXPECT_GT(Next->Epoch, 1000U);
}

// The instances that know the record replace it before those that don't, whose
// epochs may be lower.
TEST(RecordRepair, UnknownRecordWaitsForThoseThatKnowIt) {
  RecordRepair Repair;
  Repair.onListing({{Ledger, {9}}}, {}, at(0));
  EXPECT_FALSE(Repair.replacement(Ledger, 0, at(0) + 2 * Options.OrderTimeout));
  auto Next = Repair.replacement(Ledger, 0, at(0) + Options.UnknownTimeout);
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Primary, UpstreamId{});
}

TEST(RecordRepair, AnotherUnreadableEntryStartsTheWaitAnew) {
  RecordRepair Repair;
  Repair.onListing({{Ledger, {9}}}, {known(3, 7)}, at(0));
  Repair.onListing({{Ledger, {12}}}, {}, at(2000));
  EXPECT_FALSE(Repair.replacement(Ledger, 0, at(0) + Options.OrderTimeout));
  auto Next = Repair.replacement(Ledger, 0, at(2000) + Options.OrderTimeout);
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Stored, Revision{12});
  EXPECT_EQ(Next->Primary, UpstreamId{"m1"});
}

TEST(RecordRepair, ReadableRecordIsLeftAlone) {
  RecordRepair Repair;
  Repair.onListing({{Ledger, {9}}}, {known(3, 7)}, at(0));
  Repair.onListing({}, {}, at(1000));
  EXPECT_FALSE(Repair.isUnreadable(Ledger));
  EXPECT_FALSE(Repair.replacement(Ledger, 0, at(60'000)));
}

} // namespace
} // namespace turmericpitch
