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
                       .KnownTerm = {3},
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

// Two builds run side by side during an upgrade.
TEST(PrimaryRecord, RecordOfAnEarlierBuildTellsNoTerm) {
  KeyValueEntry Entry{.Key = primaryRecordKey({"ledger"}),
                      .Value = R"({"reign":4,"primary":"m1","phase":"open",)"
                               R"("target":"","writer":"front-1",)"
                               R"("attempt":12,"closed":0})",
                      .Modified = {77}};
  auto Decoded = toOutcome([&] { return decodePrimaryRecord(Entry); });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value().KnownTerm, Term{});
}

} // namespace
} // namespace turmericpitch
