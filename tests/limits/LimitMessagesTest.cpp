#include "limits/LimitMessages.h"

#include "membership/PeerFrame.h"

#include <gtest/gtest.h>
#include <limits>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

Outcome<LimitMessage> decode(const std::string &Bytes) {
  return toOutcome([&] { return decodeLimitMessage(Bytes); });
}

LimitRequest sampleRequest() {
  return {.Incarnation = 7,
          .Sequence = 9,
          .Echo =
              KeeperStamp{.Incarnation = 3, .Time = TimePoint(milliseconds(5))},
          .ShareSeconds = 0.0059,
          .Span = milliseconds(-190),
          .Keepers = {{"k1"}, {"k2"}},
          .Needs = {{.Account = {"a"}, .Operations = 2}}};
}

LimitReply sampleReply() {
  return {
      .RequestIncarnation = 7,
      .RequestSequence = 9,
      .Stamp = {.Incarnation = 3, .Time = TimePoint(milliseconds(6))},
      .News = OwnerTableNews{.Epoch = 4,
                             .Stored = {55},
                             .ReadAge = milliseconds(800)},
      .Grants = {
          {.Account = {"a"}, .Operations = 2, .Validity = milliseconds(700)},
          {.Account = {"b"}, .RetryAfter = milliseconds(90)}}};
}

TEST(LimitMessages, SurviveEncoding) {
  LimitRequest Empty;
  for (const LimitMessage &Each :
       {LimitMessage(sampleRequest()), LimitMessage(sampleReply()),
        LimitMessage(Empty), LimitMessage(LimitReply{})}) {
    auto Decoded = decode(encodeLimitMessage(Each));
    ASSERT_TRUE(Decoded);
    EXPECT_EQ(Decoded.value(), Each);
  }
}

TEST(LimitMessages, TruncatedAndLongerOnesAreRejected) {
  for (const LimitMessage &Each :
       {LimitMessage(sampleRequest()), LimitMessage(sampleReply())}) {
    std::string Bytes = encodeLimitMessage(Each);
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      EXPECT_FALSE(decode(Bytes.substr(0, Length))) << Length;
    EXPECT_FALSE(decode(Bytes + '\0'));
  }
}

TEST(LimitMessages, AmountsThatCreateCreditAreRejected) {
  for (double Amount : {-1.0, std::numeric_limits<double>::infinity(),
                        std::numeric_limits<double>::quiet_NaN()}) {
    LimitRequest Request = sampleRequest();
    Request.ShareSeconds = Amount;
    EXPECT_FALSE(decode(encodeLimitMessage(Request)));
    LimitReply Reply = sampleReply();
    Reply.Grants.front().Operations = Amount;
    EXPECT_FALSE(decode(encodeLimitMessage(Reply)));
  }
}

TEST(LimitMessages, TheLargestFitOneDatagram) {
  const std::string Longest(MaxLimitNameBytes, 'n');
  LimitRequest Request = sampleRequest();
  Request.Keepers.assign(MaxKeepersPerMessage, {Longest});
  Request.Needs.assign(MaxAccountsPerMessage, {.Account = {Longest}});
  LimitReply Reply = sampleReply();
  Reply.Grants.assign(MaxAccountsPerMessage, {.Account = {Longest}});
  for (const LimitMessage &Each :
       {LimitMessage(Request), LimitMessage(Reply)}) {
    std::string Bytes = encodeLimitMessage(Each);
    EXPECT_LE(Bytes.size(), MaximumPeerPayload);
    ASSERT_TRUE(decode(Bytes));
    EXPECT_EQ(decode(Bytes).value(), Each);
  }
}

TEST(LimitMessages, LeaveOutWhatExceedsTheMaximum) {
  LimitRequest Request = sampleRequest();
  Request.Needs.assign(MaxAccountsPerMessage + 1, {.Account = {"a"}});
  Request.Keepers.push_back({std::string(MaxLimitNameBytes + 1, 'n')});
  auto Decoded = decode(encodeLimitMessage(Request));
  ASSERT_TRUE(Decoded);
  const auto &Read = std::get<LimitRequest>(Decoded.value());
  EXPECT_EQ(Read.Needs.size(), MaxAccountsPerMessage);
  EXPECT_EQ(Read.Keepers, sampleRequest().Keepers);
}

} // namespace
} // namespace turmericpitch
