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

TermStart start(std::uint64_t NewTerm, std::uint64_t Preceding) {
  return {.NewTerm = {NewTerm}, .PrecedingPosition = {Preceding}};
}

TermPosition end(std::uint64_t WrittenIn, std::uint64_t Position) {
  return {.WrittenIn = {WrittenIn}, .Position = {Position}};
}

// A log whose end a promotion had discarded was promoted later, as its end was
// beyond that of the others (review/9).
TEST(PrimaryRecord, TermStartsTellDiscardedEntries) {
  auto Starts = withTermStart(withTermStart({}, start(2, 92)), start(3, 140));
  EXPECT_FALSE(endsDiscarded(Starts, end(1, 92)));
  EXPECT_TRUE(endsDiscarded(Starts, end(1, 93)));
  EXPECT_FALSE(endsDiscarded(Starts, end(2, 140)));
  EXPECT_TRUE(endsDiscarded(Starts, end(2, 141)));
  EXPECT_FALSE(endsDiscarded(Starts, end(3, 200)));
  EXPECT_FALSE(endsDiscarded({}, end(1, 93)));
  // The promoted log lacks what began the term before.
  Starts = withTermStart(Starts, start(4, 100));
  EXPECT_EQ(Starts, (std::vector{start(2, 92), start(4, 100)}));
  EXPECT_TRUE(endsDiscarded(Starts, end(3, 141)));
  EXPECT_FALSE(endsDiscarded(Starts, end(2, 100)));
  // A member that was primary already begins no term.
  EXPECT_EQ(withTermStart(Starts, start(4, 105)), Starts);
  for (std::uint64_t Term = 5; Term < 20; ++Term)
    Starts = withTermStart(Starts, start(Term, 100 + Term));
  EXPECT_EQ(Starts.size(), MaxTermStarts);
  EXPECT_EQ(Starts.back(), start(19, 119));
}

TEST(PrimaryRecord, MalformedTermStartsAreRefused) {
  for (const char *Starts :
       {"7", "[7]", "[[1]]", "[[1,2,3]]", "[[1,\"a\"]]", "[[-1,2]]",
        "[[2,9],[2,10]]", "[[2,9],[3,8]]",
        "[[1,1],[2,2],[3,3],[4,4],[5,5],[6,6],[7,7],[8,8],[9,9]]"}) {
    KeyValueEntry Entry{.Key = primaryRecordKey({"ledger"}),
                        .Value = R"({"reign":4,"primary":"m1","phase":"open",)"
                                 R"("target":"","writer":"f","attempt":12,)"
                                 R"("starts":)" +
                                 std::string(Starts) + "}",
                        .Modified = {77}};
    EXPECT_FALSE(toOutcome([&] { return decodePrimaryRecord(Entry); }))
        << Starts;
  }
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
