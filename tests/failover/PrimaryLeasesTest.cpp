#include "failover/PrimaryLeases.h"

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

TEST(PrimaryLeases, LeaseIsCountedFromTheReadOfTheRecord) {
  PrimaryLeases Leases;
  EXPECT_FALSE(Leases.lease(Service));
  Leases.onRecord(record(1, PrimaryPhase::Open, 5), {.ReadSentAt = at(1000)});
  EXPECT_EQ(Leases.lease(Service)->ExpiresAt, at(1800));
  Leases.onRecord(record(1, PrimaryPhase::Open, 5), {.ReadSentAt = at(1250)});
  EXPECT_EQ(Leases.lease(Service)->ExpiresAt, at(2050));
}

// During a hand-over under load, running statements and those that arrive
// before the lease expires needn't be refused.
TEST(PrimaryLeases, ClosingKeepsTheLeaseUntilItExpires) {
  PrimaryLeases Leases;
  Leases.onRecord(record(1, PrimaryPhase::Open, 5), {.ReadSentAt = at(1000)});
  Leases.onRecord(record(1, PrimaryPhase::Closing, 6),
                  {.ReadSentAt = at(1100)});
  EXPECT_EQ(Leases.lease(Service)->ExpiresAt, at(1800));
  EXPECT_TRUE(Leases.lease(Service)->Ending);
  // Neither a later read nor the promotion request renews the lease.
  Leases.onRecord(record(1, PrimaryPhase::Closing, 6),
                  {.ReadSentAt = at(1700)});
  Leases.onRecord(record(1, PrimaryPhase::Ordered, 7),
                  {.ReadSentAt = at(1750)});
  EXPECT_EQ(Leases.lease(Service)->ExpiresAt, at(1800));
  Leases.onGranted(Service, 1, at(9000));
  EXPECT_EQ(Leases.lease(Service)->ExpiresAt, at(1800));
}

TEST(PrimaryLeases, ClosedRecordGrantsNoLease) {
  PrimaryLeases Leases;
  Leases.onRecord(record(1, PrimaryPhase::Closing, 6),
                  {.ReadSentAt = at(1000)});
  EXPECT_FALSE(Leases.lease(Service));
  // The open phase of this epoch was never read.
  Leases.onRecord(record(2, PrimaryPhase::Closing, 9),
                  {.ReadSentAt = at(1100)});
  EXPECT_FALSE(Leases.lease(Service));
}

TEST(PrimaryLeases, NewEpochEndsTheOldLease) {
  PrimaryLeases Leases;
  Leases.onRecord(record(1, PrimaryPhase::Open, 5), {.ReadSentAt = at(1000)});
  Leases.onRecord(record(2, PrimaryPhase::Closing, 9),
                  {.ReadSentAt = at(1100)});
  EXPECT_FALSE(Leases.lease(Service));
  Leases.onRecord(record(2, PrimaryPhase::Open, 8), {.ReadSentAt = at(1200)});
  EXPECT_FALSE(Leases.lease(Service));
  Leases.onRecord(record(3, PrimaryPhase::Open, 10), {.ReadSentAt = at(1300)});
  EXPECT_EQ(Leases.lease(Service)->Primary.Value, "m3");
}

// A promoter took a record over without the member that the one before it had
// ordered, as a copy from another instance had arrived first (review/11).
TEST(PrimaryLeases, StoredRecordCompletesACopyFromAnotherInstance) {
  PrimaryLeases Leases;
  PrimaryRecord Copy = record(1, PrimaryPhase::Ordered, 6);
  Leases.onRecord(Copy, {.ReadSentAt = at(1000)});
  PrimaryRecord Stored = Copy;
  Stored.Target = {"m2"};
  Stored.KnownTerm = {3};
  Stored.Writer = {"front-1"};
  EXPECT_FALSE(Leases.onRecord(Stored, {.ReadSentAt = at(1100)}));
  EXPECT_EQ(*Leases.record(Service), Stored);
  Leases.onRecord(Copy, {.ReadSentAt = at(1200)});
  EXPECT_EQ(*Leases.record(Service), Stored);
}

} // namespace
} // namespace turmericpitch
