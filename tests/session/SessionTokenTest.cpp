#include "session/SessionToken.h"
#include "core/Digest.h"
#include "core/RandomSource.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace turmericpitch {

namespace {

const ClientAccountId Owner{"sabarmati"};
const WallTime Today{std::chrono::hours(24 * 20'000)};
const WallTime Tomorrow = Today + std::chrono::hours(24);

TokenKey oldKey() { return {.Id = "old", .Secret = "0123456789abcdef-old"}; }
TokenKey newKey() { return {.Id = "new", .Secret = "0123456789abcdef-new"}; }

SessionToken sampleToken(std::size_t Databases = 3) {
  SessionToken Token;
  for (std::size_t Index = 0; Index < Databases; ++Index)
    Token = Token.advanced(
        DatabaseId{"orders-" + std::to_string(Index)},
        {.WrittenIn = Term{Index + 1}, .Position = LogPosition{100 + Index}});
  return Token;
}

std::string encoded(const SessionTokenCodec &Codec, const SessionToken &Token) {
  auto Text = toOutcome([&] { return Codec.encode(Token, Owner); });
  return Text ? Text.value() : std::string();
}

Outcome<SessionToken> decoded(const SessionTokenCodec &Codec,
                              const std::string &Text, WallTime Now = Today,
                              const ClientAccountId &Account = Owner) {
  return toOutcome([&] { return Codec.decode(Text, Account, Now); });
}

TEST(SessionTokenTest, RoundTrips) {
  SessionTokenCodec Codec({newKey()});
  auto Decoded = decoded(Codec, encoded(Codec, sampleToken()));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), sampleToken());
}

TEST(SessionTokenTest, IsRejectedForAnotherAccount) {
  SessionTokenCodec Codec({newKey()});
  auto Decoded = decoded(Codec, encoded(Codec, sampleToken()), Today,
                         ClientAccountId{"sabarmat"});
  ASSERT_FALSE(Decoded);
  EXPECT_EQ(Decoded.error().Kind, ErrorKind::Forbidden);
}

TEST(SessionTokenTest, OldKeyIsAcceptedUntilItExpires) {
  SessionTokenCodec OldCodec({oldKey()});
  std::string Text = encoded(OldCodec, sampleToken());
  TokenKey ExpiringKey = oldKey();
  ExpiringKey.AcceptedUntil = Tomorrow;
  SessionTokenCodec NewCodec({newKey(), ExpiringKey});
  EXPECT_TRUE(decoded(NewCodec, Text, Today));
  EXPECT_TRUE(decoded(NewCodec, Text, Tomorrow - std::chrono::seconds(1)));
  auto Expired = decoded(NewCodec, Text, Tomorrow);
  ASSERT_FALSE(Expired);
  EXPECT_EQ(Expired.error().Kind, ErrorKind::Forbidden);
}

TEST(SessionTokenTest, FirstKeySigns) {
  SessionTokenCodec NewCodec({newKey(), oldKey()});
  std::string Text = encoded(NewCodec, sampleToken());
  EXPECT_TRUE(decoded(SessionTokenCodec({newKey()}), Text));
  EXPECT_FALSE(decoded(SessionTokenCodec({oldKey()}), Text));
}

TEST(SessionTokenTest, SizeIsBounded) {
  SessionTokenCodec Codec({newKey()});
  SessionToken Full = sampleToken(MaxTokenDatabases);
  EXPECT_LE(encoded(Codec, Full).size(), MaxTokenSize);
  EXPECT_TRUE(Full.hasRoomFor(DatabaseId{"orders-0"}));
  EXPECT_FALSE(Full.hasRoomFor(DatabaseId{"another"}));
  EXPECT_EQ(encoded(Codec, sampleToken(MaxTokenDatabases + 1)), "");
  auto Oversized = decoded(Codec, std::string(MaxTokenSize + 1, 'A'));
  ASSERT_FALSE(Oversized);
  EXPECT_EQ(Oversized.error().Kind, ErrorKind::BadRequest);
}

/// Applies 1 to 4 random changes: overwrites a byte, truncates the text,
/// appends a byte or flips a bit.
std::string damaged(std::string Bytes, RandomSource &Random) {
  std::uint32_t Changes = 1 + Random.nextBelow(4);
  while (Changes-- > 0) {
    auto Size = static_cast<std::uint32_t>(Bytes.size());
    char Byte = static_cast<char>(Random.nextBelow(256));
    switch (Bytes.empty() ? 2 : Random.nextBelow(4)) {
    case 0:
      Bytes[Random.nextBelow(Size)] = Byte;
      break;
    case 1:
      Bytes.resize(Random.nextBelow(Size));
      break;
    case 2:
      Bytes += Byte;
      break;
    default:
      Bytes[Random.nextBelow(Size)] ^=
          static_cast<char>(1U << Random.nextBelow(8));
    }
  }
  return Bytes;
}

RC_GTEST_PROP(SessionTokenTest, DamagedTextNeverDecodesToAnotherToken, ()) {
  RandomSource Random(*rc::gen::arbitrary<std::uint64_t>());
  SessionTokenCodec Codec({newKey(), oldKey()});
  SessionToken Token = sampleToken(Random.nextBelow(5));
  std::string Text = encoded(Codec, Token);
  std::string Bytes = decodeBase64(Text);
  std::string DamagedText = Random.chance(0.5)
                                ? damaged(Text, Random)
                                : encodeBase64(damaged(Bytes, Random));
  auto Decoded = decoded(Codec, DamagedText);
  // Empty text starts a new session, and a different encoding of the same bytes
  // gives the same token.
  bool Refused = !Decoded || DamagedText.empty();
  bool Same = Refused || Decoded.value() == Token;
  RC_ASSERT(Same);
}

RC_GTEST_PROP(SessionTokenTest, RandomTextIsRejected, ()) {
  RandomSource Random(*rc::gen::arbitrary<std::uint64_t>());
  std::string Bytes(1 + Random.nextBelow(300), '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Random.nextBelow(256));
  SessionTokenCodec Codec({newKey()});
  RC_ASSERT(!decoded(Codec, Bytes));
  RC_ASSERT(!decoded(Codec, encodeBase64(Bytes)));
}

} // namespace

} // namespace turmericpitch
