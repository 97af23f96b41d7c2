#include "drivers/ConfigurationSyncCopy.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

const PeerKey First{.Id = "k1", .Secret = "first-secret-of-peers"};
const PeerKey Second{.Id = "k2", .Secret = "second-secret-of-peers"};

ConfigurationChange sampleChange() {
  ConfigurationChange Change;
  Change.Head.Newest = TicketNumber{9};
  Change.Records[{ObjectKind::Brand, "a"}] = {
      .SetBy = TicketNumber{9}, .Json = R"({"name":"a","host":"h"})"};
  return Change;
}

TEST(CopyAuthenticator, ExchangesCopiesWhileKeysRotate) {
  CopyAuthenticator WithOldKey(std::vector<PeerKey>{First});
  CopyAuthenticator WithBothKeys(std::vector<PeerKey>{Second, First});
  HttpRequest Request = WithOldKey.makeRequest(TicketNumber{4}, "nonce");
  auto After = WithBothKeys.checkRequest(Request);
  ASSERT_TRUE(After);
  EXPECT_EQ(After.value(), TicketNumber{4});
  HttpReply Reply = WithOldKey.makeReply(Request, sampleChange());
  auto Copy = WithBothKeys.checkReply(Request, Reply);
  ASSERT_TRUE(Copy);
  EXPECT_EQ(Copy.value(), sampleChange());
}

TEST(CopyAuthenticator, RejectsUnknownKeysAndRepliesToOtherRequests) {
  CopyAuthenticator Authenticator(std::vector<PeerKey>{First});
  CopyAuthenticator Foreign(std::vector<PeerKey>{Second});
  HttpRequest Request = Authenticator.makeRequest(TicketNumber{4}, "nonce");
  EXPECT_EQ(Foreign.checkRequest(Request).error().Kind, ErrorKind::Forbidden);
  HttpReply Reply = Authenticator.makeReply(Request, sampleChange());
  EXPECT_EQ(Foreign.checkReply(Request, Reply).error().Kind,
            ErrorKind::Forbidden);
  HttpRequest Other = Authenticator.makeRequest(TicketNumber{4}, "other");
  EXPECT_EQ(Authenticator.checkReply(Other, Reply).error().Kind,
            ErrorKind::Forbidden);
  Reply.Body.back() ^= 1;
  EXPECT_EQ(Authenticator.checkReply(Request, Reply).error().Kind,
            ErrorKind::Forbidden);
  Reply.Body = "short";
  EXPECT_EQ(Authenticator.checkReply(Request, Reply).error().Kind,
            ErrorKind::Forbidden);
}

} // namespace
} // namespace turmericpitch
