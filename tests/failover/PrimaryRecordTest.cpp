#include "failover/PrimaryRecord.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

TEST(PrimaryRecord, DecodesWhatItEncodes) {
  PrimaryRecord Record{.Service = {"ledger"},
                       .Epoch = 4,
                       .Primary = {"m1"},
                       .Phase = PrimaryPhase::Ordered,
                       .Target = {"m2"},
                       .Writer = {"front-1"},
                       .Attempt = 12,
                       .Stored = {77}};
  KeyValueEntry Entry{.Key = primaryRecordKey(Record.Service),
                      .Value = encodePrimaryRecord(Record),
                      .Modified = {77}};
  auto Decoded = toOutcome([&] { return decodePrimaryRecord(Entry); });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Record);
  Entry.Value = R"({"reign":1})";
  EXPECT_FALSE(toOutcome([&] { return decodePrimaryRecord(Entry); }));
}

} // namespace
} // namespace turmericpitch
