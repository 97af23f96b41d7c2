#include "drivers/ConfigurationSyncCopy.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

const PeerKey First{.Id = "k1", .Secret = "first-secret-of-peers"};
const PeerKey Second{.Id = "k2", .Secret = "second-secret-of-peers"};

ConfigurationChange someChange() {
  ConfigurationChange Change;
  Change.Head.Newest = TicketNumber{9};
  Change.Records[{ObjectKind::Brand, "a"}] = {
      .SetBy = TicketNumber{9}, .Json = R"({"name":"a","host":"h"})"};
  return Change;
}

TEST(CopyAuthenticator, ExchangesCopiesWhileKeysRotate) {
  CopyAuthenticator Old(std::vector<PeerKey>{First});
  CopyAuthenticator New(std::vector<PeerKey>{Second, First});
  HttpRequest Request = Old.makeRequest(TicketNumber{4}, "nonce");
  auto After = New.checkRequest(Request);
  ASSERT_TRUE(After);
  EXPECT_EQ(After.value(), TicketNumber{4});
  HttpReply Reply = Old.makeReply(Request, someChange());
  auto Copy = New.checkReply(Request, Reply);
  ASSERT_TRUE(Copy);
  EXPECT_EQ(Copy.value(), someChange());
}

TEST(CopyAuthenticator, RefusesStrangersAndCopiesForOtherRequests) {
  CopyAuthenticator Ours(std::vector<PeerKey>{First});
  CopyAuthenticator Strange(std::vector<PeerKey>{Second});
  HttpRequest Request = Ours.makeRequest(TicketNumber{4}, "nonce");
  EXPECT_EQ(Strange.checkRequest(Request).error().Kind, ErrorKind::Forbidden);
  HttpReply Reply = Ours.makeReply(Request, someChange());
  EXPECT_EQ(Strange.checkReply(Request, Reply).error().Kind,
            ErrorKind::Forbidden);
  HttpRequest Other = Ours.makeRequest(TicketNumber{4}, "other");
  EXPECT_EQ(Ours.checkReply(Other, Reply).error().Kind, ErrorKind::Forbidden);
  Reply.Body.back() ^= 1;
  EXPECT_EQ(Ours.checkReply(Request, Reply).error().Kind, ErrorKind::Forbidden);
  Reply.Body = "short";
  EXPECT_EQ(Ours.checkReply(Request, Reply).error().Kind, ErrorKind::Forbidden);
}

} // namespace
} // namespace turmericpitch
