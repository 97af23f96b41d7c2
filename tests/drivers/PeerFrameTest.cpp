#include "membership/PeerFrame.h"

#include "core/RandomSource.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

PeerKey key(const std::string &Id) {
  return {.Id = Id, .Secret = "a secret of sixteen and more: " + Id};
}

PeerFrame frame() {
  return {.From = InstanceId{"entry-1"},
          .Topic = PeerTopic::Membership,
          .Payload = "payload"};
}

std::string encode(const std::vector<PeerKey> &Keys) {
  auto Bytes = toOutcome([&] { return PeerFrameCodec(Keys).encode(frame()); });
  return Bytes ? Bytes.value() : std::string();
}

Outcome<PeerFrame> decode(const std::vector<PeerKey> &Keys,
                          const std::string &Bytes) {
  return toOutcome([&] { return PeerFrameCodec(Keys).decode(Bytes); });
}

// Instances rotate keys one by one: first all accept the new key, then all sign
// with it, then all remove the old one. Instances in adjacent stages must
// accept each other's frames.
TEST(PeerFrame, AdjacentKeyRotationStagesAcceptEachOther) {
  std::vector<std::vector<PeerKey>> Stages = {{key("old")},
                                              {key("old"), key("new")},
                                              {key("new"), key("old")},
                                              {key("new")}};
  for (std::size_t Stage = 0; Stage + 1 < Stages.size(); ++Stage) {
    EXPECT_TRUE(decode(Stages[Stage], encode(Stages[Stage + 1])));
    EXPECT_TRUE(decode(Stages[Stage + 1], encode(Stages[Stage])));
  }
  EXPECT_FALSE(decode(Stages[3], encode(Stages[0])));
}

TEST(PeerFrame, UnknownKeyIsForbidden) {
  auto Read = decode({key("own")}, encode({key("stranger")}));
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().Kind, ErrorKind::Forbidden);
}

// Fuzz test with a fixed seed: the signature detects each changed byte.
TEST(PeerFrame, DamagedFramesAreRejected) {
  RandomSource Random(20261203);
  std::string Whole = encode({key("own")});
  ASSERT_TRUE(decode({key("own")}, Whole));
  for (int Round = 0; Round < 5'000; ++Round) {
    std::string Bytes = Whole;
    auto Size = static_cast<std::uint32_t>(Bytes.size());
    Bytes[Random.nextBelow(Size)] ^=
        static_cast<char>(1 + Random.nextBelow(255));
    if (Random.chance(0.2))
      Bytes.resize(Random.nextBelow(Size));
    EXPECT_FALSE(decode({key("own")}, Bytes));
  }
}

} // namespace
} // namespace turmericpitch
