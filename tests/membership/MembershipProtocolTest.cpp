#include "membership/MembershipController.h"
#include "membership/PeerFrame.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using Kind = MembershipMessageKind;

constexpr TimePoint Start{std::chrono::seconds(100)};

MembershipOptions options() {
  MembershipOptions Options;
  Options.Self = {.Id = InstanceId{"entry-1"},
                  .Zone = ZoneId{"vatva"},
                  .PeerEndpoint = {.Address = "10.0.0.1", .Port = 1}};
  Options.IncarnationNumber = Incarnation{1000};
  return Options;
}

InstanceRecord peer(const std::string &Name, std::uint64_t IncarnationNumber) {
  return {.Id = InstanceId{Name},
          .Zone = ZoneId{"vatva"},
          .PeerEndpoint = {.Address = "10.0.0.2", .Port = 2},
          .IncarnationNumber = Incarnation{IncarnationNumber}};
}

MembershipMessage ping(const InstanceRecord &From, std::uint64_t Sequence) {
  MembershipMessage Message;
  Message.Kind = Kind::Ping;
  Message.To = InstanceId{"entry-1"};
  Message.Sender = From;
  Message.Sequence = Sequence;
  return Message;
}

class MembershipProtocolTest : public ::testing::Test {
protected:
  OutgoingMembershipMessages receive(const MembershipMessage &Message) {
    return this->Protocol.onMessage(Message.Sender.Id, Message, Start);
  }

  MembershipProtocol Protocol{options(), 1};
};

TEST_F(MembershipProtocolTest, RepliesToAPingOnce) {
  MembershipMessage Ping = ping(peer("entry-2", 5), 7);
  OutgoingMembershipMessages Replies = this->receive(Ping);
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].Message.Kind, Kind::Ack);
  EXPECT_EQ(Replies[0].Message.InReplyTo, 7U);
  std::uint64_t Version = this->Protocol.version();
  EXPECT_TRUE(this->receive(Ping).empty());
  EXPECT_EQ(this->Protocol.counters().Replayed, 1U);
  EXPECT_EQ(this->Protocol.version(), Version);
}

TEST_F(MembershipProtocolTest, IgnoresMessagesForOrSignedByOtherInstances) {
  std::uint64_t Version = this->Protocol.version();
  MembershipMessage Misaddressed = ping(peer("entry-2", 5), 7);
  Misaddressed.To = InstanceId{"entry-9"};
  EXPECT_TRUE(this->receive(Misaddressed).empty());
  MembershipMessage WrongSender = ping(peer("entry-2", 5), 7);
  EXPECT_TRUE(
      this->Protocol.onMessage(InstanceId{"entry-3"}, WrongSender, Start)
          .empty());
  EXPECT_EQ(this->Protocol.counters().Misaddressed, 2U);
  EXPECT_EQ(this->Protocol.version(), Version);
}

TEST_F(MembershipProtocolTest, IgnoresUpdatesOfAnEarlierIncarnation) {
  this->receive(ping(peer("entry-2", 50), 1));
  MembershipMessage Old = ping(peer("entry-2", 5), 900);
  Old.Updates = {peer("entry-3", 5)};
  OutgoingMembershipMessages Replies = this->receive(Old);
  // The reply only reports which incarnation the sender must exceed.
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].Message.Updates, std::vector{peer("entry-2", 50)});
  EXPECT_EQ(this->Protocol.table().find(InstanceId{"entry-3"}), nullptr);
}

TEST_F(MembershipProtocolTest, ExceedsTheIncarnationOfAnEarlierProcess) {
  MembershipMessage Message = ping(peer("entry-2", 5), 1);
  InstanceRecord Earlier = peer("entry-1", 4000);
  Earlier.PeerEndpoint = options().Self.PeerEndpoint;
  Message.Updates = {Earlier};
  this->receive(Message);
  EXPECT_EQ(this->Protocol.table()
                .find(InstanceId{"entry-1"})
                ->Record.IncarnationNumber.Value,
            4001U);
}

TEST_F(MembershipProtocolTest, DetectsAnotherProcessWithItsName) {
  MembershipMessage Message = ping(peer("entry-2", 5), 1);
  Message.Updates = {peer("entry-1", 4000)}; // at another address
  this->receive(Message);
  EXPECT_TRUE(this->Protocol.snapshot(Start).selfReplaced());
  EXPECT_EQ(this->Protocol.counters().Refutations, 0U);
}

TEST_F(MembershipProtocolTest, MessagesWithTheLongestNamesFitADatagram) {
  constexpr std::size_t MaxNameLength = 64;
  for (unsigned Index = 0; Index < 300; ++Index) {
    std::string Name = std::to_string(Index);
    Name.resize(MaxNameLength, 'x');
    InstanceRecord Record = peer(Name, 5);
    Record.Zone.Value = std::to_string(Index % 60);
    Record.Zone.Value.resize(MaxNameLength, 'z');
    MembershipMessage Ping = ping(Record, 1);
    Ping.Buckets = {.First = 0, .Digests = {1, 2, 3, 4, 5, 6, 7, 8}};
    for (const OutgoingMembershipMessage &Each : this->receive(Ping))
      EXPECT_LE(encodeMembership(Each.Message).size(), MaximumPeerPayload);
    Ping.Kind = Kind::PageRequest;
    Ping.Sequence = 2;
    for (const OutgoingMembershipMessage &Each : this->receive(Ping))
      EXPECT_LE(encodeMembership(Each.Message).size(), MaximumPeerPayload);
  }
  for (const OutgoingMembershipMessage &Each : this->Protocol.onTick(Start))
    EXPECT_LE(encodeMembership(Each.Message).size(), MaximumPeerPayload);
}

TEST(MembershipController, CountsMalformedPayloads) {
  MembershipController Controller(options(), 1);
  SharedMembership Before = Controller.current();
  EXPECT_TRUE(
      Controller.onPayload(InstanceId{"entry-2"}, "junk", Start).empty());
  EXPECT_EQ(Controller.counters().Malformed, 1U);
  EXPECT_EQ(Controller.current(), Before);
}

TEST(MembershipController, PublishesItsOwnInstanceFromTheStart) {
  MembershipController Controller(options(), 1);
  const InstanceView *Self = Controller.current()->find(InstanceId{"entry-1"});
  ASSERT_NE(Self, nullptr);
  EXPECT_EQ(Self->State, InstanceState::Live);
  Controller.beginLeaving(Start);
  EXPECT_EQ(Controller.current()->find(InstanceId{"entry-1"})->State,
            InstanceState::Leaving);
}

} // namespace
} // namespace turmericpitch
