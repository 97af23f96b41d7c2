#include "failover/RightMessages.h"

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
  Told.Sample = TermPosition{.WrittenIn = {3}, .Position = {1209}};
  Told.SampleAge = milliseconds(40);
  return {.Serial = 9,
          .Part = 1,
          .Parts = 2,
          .Versions = {.Configuration = 5,
                       .Members = 6,
                       .Instances = 7,
                       .InstancesAge = milliseconds(8),
                       .PromoterStep = 9,
                       .PromoterStepAge = milliseconds(10)},
          .RetiredAs = {11},
          .Services = {Told}};
}

TEST(RightMessages, SurviveTheirEncoding) {
  for (const RightMessage &Message :
       {RightMessage(RightQuestion{.Serial = 3, .WantsGrants = true}),
        RightMessage(sampleAnswer()), RightMessage(RightNews{})}) {
    auto Decoded = toOutcome(
        [&] { return decodeRightMessage(encodeRightMessage(Message)); });
    ASSERT_TRUE(Decoded);
    EXPECT_EQ(Decoded.value(), Message);
  }
}

TEST(RightMessages, CutOffOrStrangeBytesAreRefused) {
  std::string Bytes = encodeRightMessage(sampleAnswer());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_FALSE(
        toOutcome([&] { return decodeRightMessage(Bytes.substr(0, Length)); }));
  Bytes[1] = 99; // Another version.
  EXPECT_FALSE(toOutcome([&] { return decodeRightMessage(Bytes); }));
}

} // namespace
} // namespace turmericpitch
