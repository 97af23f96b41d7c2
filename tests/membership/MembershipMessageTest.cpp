#include "membership/MembershipMessage.h"

#include "core/RandomSource.h"
#include "membership/PeerFrame.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

InstanceRecord record(const std::string &Name) {
  return {.Id = InstanceId{Name},
          .Zone = ZoneId{"vatva"},
          .PeerEndpoint = {.Address = "10.1.2.3", .Port = 7103},
          .IncarnationNumber = Incarnation{1'700'000'000'123},
          .Leaving = true,
          .Health = InstanceHealth::Suspect};
}

MembershipMessage fullMessage() {
  MembershipMessage Message;
  Message.Kind = MembershipMessageKind::Ack;
  Message.To = InstanceId{"entry-2"};
  Message.Sender = record("entry-1");
  Message.Sequence = 77;
  Message.InReplyTo = 76;
  Message.Subject = InstanceId{"entry-1"};
  Message.Cursor = InstanceId{"entry-0"};
  Message.Updates = {record("entry-3"), record("entry-4")};
  Message.Zones = {{.Zone = zoneKey(ZoneId{"naroda"}),
                    .Age = std::chrono::milliseconds(1500)}};
  Message.Buckets = {.First = 248, .Digests = {1, 2, 3, 4, 5, 6, 7, 8}};
  return Message;
}

Outcome<DecodedMembershipMessage> decode(const std::string &Bytes) {
  return toOutcome([&] { return decodeMembership(Bytes); });
}

TEST(MembershipMessage, SurvivesEncodingAndDecoding) {
  auto Read = decode(encodeMembership(fullMessage()));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().Message, fullMessage());
  EXPECT_EQ(Read.value().UnknownSections, 0U);
}

TEST(MembershipMessage, EncodedSizeMatchesTheEncoding) {
  EXPECT_EQ(encodedSize(fullMessage()), encodeMembership(fullMessage()).size());
  MembershipMessage Short;
  Short.Sender = record("entry-1");
  EXPECT_EQ(encodedSize(Short), encodeMembership(Short).size());
}

TEST(MembershipMessage, SkipsSectionsOfLaterVersions) {
  std::string Bytes = encodeMembership(fullMessage());
  Bytes += std::string("\x63\x03\x00new", 6);
  Bytes[1] =
      9; // written by a later version that readers of this version can decode
  auto Read = decode(Bytes);
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().Message, fullMessage());
  EXPECT_EQ(Read.value().UnknownSections, 1U);
}

TEST(MembershipMessage, AcceptsMessagesWithoutOptionalSections) {
  MembershipMessage Old = fullMessage();
  Old.Zones.clear();
  Old.Buckets = {};
  auto Read = decode(encodeMembership(Old));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().Message, Old);
}

TEST(MembershipMessage, RejectsMessagesThatRequireALaterReader) {
  std::string Bytes = encodeMembership(fullMessage());
  Bytes[1] = 9;
  Bytes[2] = 2;
  EXPECT_FALSE(decode(Bytes));
  EXPECT_FALSE(decode(std::string(MaximumPeerPayload + 1, 'x')));
}

// Seeded fuzz test: a message decoded from damaged bytes has a bounded size and
// can be encoded again.
TEST(MembershipMessage, DecodesDamagedBytesSafely) {
  RandomSource Random(20261203);
  std::string Whole = encodeMembership(fullMessage());
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes = Whole;
    auto Size = static_cast<std::uint32_t>(Bytes.size());
    for (std::uint32_t Change = Random.nextBelow(4) + 1; Change > 0; --Change)
      Bytes[Random.nextBelow(Size)] = static_cast<char>(Random.nextBelow(256));
    if (Random.chance(0.3))
      Bytes.resize(Random.nextBelow(Size));
    auto Read = decode(Bytes);
    if (!Read)
      continue;
    auto Again = decode(encodeMembership(Read.value().Message));
    ASSERT_TRUE(Again);
    EXPECT_EQ(Again.value().Message, Read.value().Message);
  }
}

} // namespace
} // namespace turmericpitch
