#include "drivers/CallerApi.h"

#include "core/Digest.h"
#include "drivers/MemberCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

/// Returns a ticket with two brands, each with a client account, a service and
/// a database.
Ticket twoBrands() {
  Ticket Configured;
  Configured.Id = TicketNumber{1};
  for (const char *Name : {"kaveri", "chechia"}) {
    std::string Base = Name;
    BrandId Owner{Base};
    Configured.Brands.push_back({.Id = Owner, .Host = Base + ".example"});
    Configured.ClientAccounts.push_back(
        {.Id = ClientAccountId{Base + "-account"},
         .Owner = Owner,
         .CredentialDigest = sha256Hex(Base + "-credential"),
         .Services = {ServiceId{Base + "-service"}}});
    Configured.DatabaseServices.push_back(
        {.Id = ServiceId{Base + "-service"},
         .Owner = Owner,
         .Databases = {DatabaseId{Base + "-database"}}});
    Database Target;
    Target.Id = DatabaseId{Base + "-database"};
    DatabaseMember Member;
    Member.Id = UpstreamId{Base + "-member"};
    Member.Where = {.Address = "127.0.0.1", .Port = 1};
    Member.Zone = ZoneId{"zone"};
    Target.Members.push_back(Member);
    Configured.Databases.push_back(Target);
  }
  return Configured;
}

/// A caller interface with both brands configured and no reachable member.
class CallerApiTest : public ::testing::Test {
protected:
  CallerApiTest() {
    auto Configuration = std::make_shared<ConfigurationController>();
    auto Built = toOutcome(
        [] { return ConfigurationSnapshot().withChange(twoBrands()); });
    ConfigurationChange Change = Built.value().changesAfter({});
    auto Applied = toOutcome([&] { return Configuration->apply(Change); });
    EXPECT_TRUE(Applied && Applied.value());
    auto Upstreams = std::make_shared<UpstreamController>();
    auto Pool = std::make_shared<MemberPool>(this->Context.get_executor(),
                                             MemberPoolOptions{});
    auto Runner = std::make_shared<StatementRunner>(Pool, Pool, Upstreams,
                                                    RoutingOptions{});
    auto Transactions = std::make_shared<TransactionRunner>(
        Pool, Upstreams, Runner, RoutingOptions{}, TransactionLimits{});
    StatementChain Chain(AccountFilter{},
                         DeadlineFilter{std::chrono::seconds(30)},
                         TokenFilter{this->Codec});
    this->Api = std::make_unique<CallerApi>(
        CallerApiOptions{.Self = InstanceId{"entry-1"}, .StartId = "1"},
        Configuration, Upstreams, Runner, Transactions, Chain, this->Codec);
  }

  HttpReply send(HttpRequest Request) {
    HttpReply Reply;
    auto Caller = std::make_shared<CallerTransaction>();
    auto Work = [&]() -> Awaitable<void> {
      Reply = co_await this->Api->handle(Request, Caller);
    };
    boost::asio::co_spawn(this->Context, Work, boost::asio::detached);
    this->Context.restart();
    this->Context.run();
    return Reply;
  }

  static HttpRequest request(const std::string &Brand,
                             const std::string &Body) {
    HttpRequest Request;
    Request.Target = "/v1/services/" + Brand + "-service/databases/" + Brand +
                     "-database/statements";
    Request.Host = Brand + ".example:7101";
    Request.Authorization = "Bearer " + Brand + "-credential";
    Request.Body = Body;
    return Request;
  }

  std::string tokenOf(const std::string &Account) const {
    SessionToken Token = SessionToken().advanced(
        DatabaseId{"d"}, {.WrittenIn = Term{1}, .Position = LogPosition{3}});
    auto Text = toOutcome(
        [&] { return this->Codec->encode(Token, ClientAccountId{Account}); });
    return Text ? Text.value() : "";
  }

  static void expectRefused(const HttpReply &Reply, ErrorKind Kind) {
    Error Failure = decodeError(Reply.Body);
    EXPECT_EQ(Failure.Kind, Kind) << Reply.Body;
    EXPECT_EQ(Reply.Status, httpStatusOf(Kind));
    EXPECT_FALSE(Failure.Remedy.empty());
  }

  boost::asio::io_context Context;
  std::shared_ptr<const SessionTokenCodec> Codec =
      std::make_shared<const SessionTokenCodec>(
          std::vector<TokenKey>{{.Id = "k", .Secret = "secret-0123456789"}});
  std::unique_ptr<CallerApi> Api;
};

TEST_F(CallerApiTest, RefusesMalformedStatements) {
  for (const char *Body :
       {"", "{", "[]", R"({"statement":1})", R"({"statement":"get x","up":1})",
        R"({"statement":"get x","max_age_ms":-1})"})
    expectRefused(this->send(request("kaveri", Body)), ErrorKind::BadRequest);
}

TEST_F(CallerApiTest, RefusesUnknownHostsCredentialsAndServices) {
  const char *Body = R"({"statement":"get x"})";
  HttpRequest Host = request("kaveri", Body);
  Host.Host = "elsewhere.example";
  expectRefused(this->send(Host), ErrorKind::BadRequest);
  HttpRequest Credential = request("kaveri", Body);
  Credential.Authorization = "Bearer wrong";
  expectRefused(this->send(Credential), ErrorKind::Forbidden);
  HttpRequest Service = request("kaveri", Body);
  Service.Target = "/v1/services/none/databases/none/statements";
  expectRefused(this->send(Service), ErrorKind::Forbidden);
}

TEST_F(CallerApiTest, RefusesForgedTokensAndTokensOfOtherAccounts) {
  std::string OwnToken = this->tokenOf("kaveri-account");
  std::string ForgedToken = OwnToken;
  ForgedToken[ForgedToken.size() / 2] =
      ForgedToken[ForgedToken.size() / 2] == 'A' ? 'B' : 'A';
  for (const std::string &Token :
       {ForgedToken, this->tokenOf("chechia-account")})
    expectRefused(this->send(request("kaveri", R"({"statement":"get x",)"
                                               R"("session_token":")" +
                                                   Token + "\"}")),
                  ErrorKind::Forbidden);
}

TEST_F(CallerApiTest, ErrorsDoNotNameAnotherBrand) {
  HttpRequest ForeignCredential =
      request("chechia", R"({"statement":"get x"})");
  ForeignCredential.Host = "kaveri.example";
  HttpReply Reply = this->send(ForeignCredential);
  expectRefused(Reply, ErrorKind::Forbidden);
  EXPECT_EQ(Reply.Body.find("chechia"), std::string::npos) << Reply.Body;
  HttpRequest ForeignService = request("kaveri", R"({"statement":"get x"})");
  ForeignService.Target =
      "/v1/services/chechia-service/databases/chechia-database/statements";
  Reply = this->send(ForeignService);
  expectRefused(Reply, ErrorKind::Forbidden);
  EXPECT_EQ(Reply.Body.find("chechia"), std::string::npos) << Reply.Body;
}

} // namespace
} // namespace turmericpitch
