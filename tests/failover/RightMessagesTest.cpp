#include "failover/RightMessages.h"
#include "failover/PrimaryWatch.h"
#include "failover/ReignRecord.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

RightAnswer sampleAnswer() {
  ToldService Told{.Record = {.Service = {"ledger"},
                              .Reign = 4,
                              .Primary = {"m1"},
                              .Phase = ReignPhase::Closing,
                              .Stored = {77}}};
  Told.Age = milliseconds(120);
  Told.Granted = true;
  Told.Contact = PrimaryContact::Silent;
  return {.Serial = 9,
          .Part = 1,
          .Parts = 2,
          .Versions = {.Configuration = 5,
                       .Members = 6,
                       .Instances = 7,
                       .InstancesAge = milliseconds(8)},
          .Services = {Told}};
}

TEST(RightMessages, SurviveTheirEncoding) {
  for (const RightMessage &Message :
       {RightMessage(RightQuestion{.Serial = 3, .WantsGrants = true}),
        RightMessage(sampleAnswer()), RightMessage(RightNews{})}) {
    auto Decoded = keepOutcome(
        [&] { return decodeRightMessage(encodeRightMessage(Message)); });
    ASSERT_TRUE(Decoded);
    EXPECT_EQ(Decoded.value(), Message);
  }
}

TEST(RightMessages, CutOffOrStrangeBytesAreRefused) {
  std::string Bytes = encodeRightMessage(sampleAnswer());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_FALSE(keepOutcome(
        [&] { return decodeRightMessage(Bytes.substr(0, Length)); }));
  Bytes[1] = 99; // Another version.
  EXPECT_FALSE(keepOutcome([&] { return decodeRightMessage(Bytes); }));
}

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
  auto Decoded = keepOutcome([&] { return decodeReign(Entry); });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Record);
  Entry.Value = R"({"reign":1})";
  EXPECT_FALSE(keepOutcome([&] { return decodeReign(Entry); }));
}

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

/// Looks each 50 ms from FromMs; returns when the watch first acts.
std::optional<int> actsAt(PrimaryWatch &Watch, const PrimarySighting &Seen,
                          std::size_t Rank, int FromMs, int ToMs) {
  for (int Now = FromMs; Now <= ToMs; Now += 50)
    if (Watch.look(Seen, Rank, at(Now)) != ReplaceReason::None)
      return Now;
  return std::nullopt;
}

TEST(PrimaryWatch, SilenceIsALossAndRefusedConnectionsSooner) {
  PrimarySighting Silent{.SilentSince = at(1000)};
  PrimaryWatch First;
  actsAt(First, {}, 0, 500, 1000);
  EXPECT_EQ(actsAt(First, Silent, 0, 1050, 3000), 1500);
  Silent.Refusing = true;
  PrimaryWatch Second;
  actsAt(Second, {}, 0, 500, 1000);
  EXPECT_EQ(actsAt(Second, Silent, 0, 1050, 3000), 1250);
}

TEST(PrimaryWatch, LaterRanksGiveTheFirstTime) {
  PrimarySighting Silent{.SilentSince = at(1000)};
  PrimaryWatch Watch;
  actsAt(Watch, {}, 2, 500, 1000);
  EXPECT_EQ(actsAt(Watch, Silent, 2, 1050, 3000), 2000);
}

TEST(PrimaryWatch, OwnStandstillProvesNothing) {
  PrimarySighting Silent{.SilentSince = at(1000)};
  PrimaryWatch Watch;
  actsAt(Watch, {}, 0, 500, 1000);
  // The process stood still for four seconds.
  EXPECT_EQ(actsAt(Watch, Silent, 0, 5000, 8000), 5500);
}

TEST(PrimaryWatch, AnAnswerEndsTheSuspicion) {
  PrimaryWatch Watch;
  PrimarySighting Silent{.SilentSince = at(1000)};
  EXPECT_FALSE(actsAt(Watch, Silent, 0, 1000, 1400));
  EXPECT_FALSE(actsAt(Watch, {}, 0, 1450, 1600));
  Silent.SilentSince = at(1600);
  EXPECT_FALSE(actsAt(Watch, Silent, 0, 1650, 2050));
}

TEST(PrimaryWatch, ALeavingPrimaryIsHandedOverAtOnce) {
  PrimaryWatch Watch;
  EXPECT_EQ(Watch.look({.Draining = true}, 0, at(1000)),
            ReplaceReason::Leaving);
  EXPECT_EQ(Watch.look({.Listed = false}, 0, at(1050)), ReplaceReason::Lost);
}

TEST(PrimaryWatch, TheFurthestLogSucceeds) {
  EXPECT_FALSE(chooseSuccessor({}));
  std::vector<SuccessorCandidate> All{
      {.Id = {"a"}, .Received = {.WrittenIn = {1}, .Position = {9}}},
      {.Id = {"b"}, .Received = {.WrittenIn = {2}, .Position = {3}}},
      {.Id = {"c"}, .Received = {.WrittenIn = {1}, .Position = {10}}}};
  EXPECT_EQ(chooseSuccessor(All)->Value, "b");
}

} // namespace
} // namespace turmericpitch
