#include "failover/ReignRecord.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

TEST(ReignRecord, SurvivesItsEncoding) {
  ReignRecord Record{.Service = {"ledger"},
                     .Reign = 4,
                     .Primary = {"m1"},
                     .Phase = ReignPhase::Ordered,
                     .Target = {"m2"},
                     .Writer = {"front-1"},
                     .Attempt = 12,
                     .Stored = {77}};
  KeyValueEntry Entry{.Key = reignKey(Record.Service),
                      .Value = encodeReign(Record),
                      .Modified = {77}};
  auto Decoded = toOutcome([&] { return decodeReign(Entry); });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Record);
  Entry.Value = R"({"reign":1})";
  EXPECT_FALSE(toOutcome([&] { return decodeReign(Entry); }));
}

} // namespace
} // namespace turmericpitch
