// Accounts in the operator's configuration.
#include "platform/StoredObjects.h"

#include "core/DecisionLog.h"
#include "limits/LimitMessages.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace turmericpitch {
namespace {

/// The table of a configuration with these further fields.
RouteTable decode(const std::string &Fields) {
  auto Table = toOutcome([&] {
    return decodeRouteTable(
        R"({"version":7,"routes":[)"
        R"({"name":"a","host":"x","kind":"primary","service":"s",)"
        R"("timeout_ms":1000,"latency_goal_ms":200,"public":true},)"
        R"({"name":"b","host":"y","kind":"primary","service":"s",)"
        R"("timeout_ms":1000,"latency_goal_ms":200}],)"
        R"("services":[{"name":"s","max_conns":60}])" +
        Fields + "}");
  });
  EXPECT_TRUE(Table);
  return Table ? Table.value() : RouteTable{};
}

AccountDecision decide(const RouteTable &Table, std::string_view Credential) {
  return Table.Accounts.decide(RouteAccess::Authenticated,
                               PresentedCredential::from(Credential));
}

TEST(StoredAccounts, DecodesAccountsAndPublicRoutes) {
  RouteTable Table =
      decode(R"(,"tenants":[{"name":"miny420","api_keys":["bkf83f","7dqd"],)"
             R"("priority":1,"rate_per_s":360,"burst":36.5},)"
             R"({"name":"free","api_keys":[],"priority":0}])");
  ASSERT_EQ(Table.Accounts.accounts().size(), 2U);
  const AccountRule *Limited = Table.Accounts.account({"miny420"});
  ASSERT_TRUE(Limited);
  EXPECT_EQ(Limited->Priority, 1U);
  EXPECT_EQ(Limited->Limit, (OperationLimit{.PerSecond = 360, .Burst = 36.5}));
  EXPECT_FALSE(Table.Accounts.account({"free"})->Limit);
  EXPECT_EQ(decide(Table, "7dqd").Account.Value, "miny420");
  EXPECT_EQ(decide(Table, "7dqe").Refusal, AccountRefusal::CredentialUnknown);
  EXPECT_EQ(Table.Routes.at("x").Access, RouteAccess::Public);
  EXPECT_EQ(Table.Routes.at("y").Access, RouteAccess::Authenticated);
}

TEST(StoredAccounts, WithoutAListNoCredentialIsNeeded) {
  EXPECT_FALSE(decode("").Accounts.required());
  EXPECT_TRUE(decode(R"(,"tenants":[])").Accounts.required());
}

/// A longer name couldn't be sent with its account's limit.
TEST(StoredAccounts, SkipsNamesThatCanNotBeSent) {
  std::string Longest(MaxLimitNameBytes, 'n');
  RouteTable Table = decode(R"(,"tenants":[{"name":")" + Longest +
                            R"(","api_keys":["fine"]},{"name":")" + Longest +
                            R"(n","api_keys":["secret-1"]}])");
  EXPECT_EQ(decide(Table, "fine").Account.Value, Longest);
  EXPECT_EQ(decide(Table, "secret-1").Refusal,
            AccountRefusal::CredentialUnknown);
}

TEST(StoredAccounts, SkipsOnlyUnreadableEntriesAndLogsNoCredential) {
  std::string Path = testing::TempDir() + "stored-accounts-" +
                     std::to_string(getpid()) + ".log";
  sendLogTo(Path);
  RouteTable Table = decode(
      R"(,"tenants":[{"name":"good","api_keys":["fine"]},)"
      R"({"name":"one","api_keys":["secret-1",7]},)"
      R"({"name":"two","api_keys":"secret-2"},)"
      R"({"name":"two words","api_keys":["secret-3"]},)"
      R"({"api_keys":["secret-4"]},"secret-5",null,)"
      R"({"name":"zero","api_keys":["secret-6"],"rate_per_s":0},)"
      R"({"name":"below","api_keys":["secret-7"],"rate_per_s":-1},)"
      R"({"name":"odd","api_keys":["secret-8"],"rate_per_s":1,"burst":"x"},)"
      R"({"name":"good","api_keys":["secret-9"]},)"
      R"({"name":"line\nSTARTUP","api_keys":["secret-10"]}])");
  sendLogTo("");
  std::stringstream Log;
  Log << std::ifstream(Path).rdbuf();
  std::remove(Path.c_str());
  EXPECT_EQ(Table.Accounts.accounts().size(), 1U);
  EXPECT_EQ(decide(Table, "fine").Account.Value, "good");
  for (int Index = 1; Index <= 10; ++Index)
    EXPECT_EQ(decide(Table, "secret-" + std::to_string(Index)).Refusal,
              AccountRefusal::CredentialUnknown)
        << Index;
  std::string Text = Log.str();
  EXPECT_EQ(Text.find("secret"), std::string::npos) << Text;
  std::size_t Lines = 0;
  for (std::size_t At = Text.find("configuration_entry_skipped");
       At != std::string::npos;
       At = Text.find("configuration_entry_skipped", At + 1))
    ++Lines;
  EXPECT_EQ(Lines, 11U) << Text;
}

// Instances keep and hand over configurations; credentials don't leave them.
TEST(StoredAccounts, CopyHoldsDigestsInPlaceOfCredentials) {
  std::string Body =
      R"({"version":7,"routes":[{"name":"b","host":"y","kind":"primary",)"
      R"("service":"s","timeout_ms":1000,"latency_goal_ms":200}],)"
      R"("services":[{"name":"s","max_conns":60}],"secret-note":"secret-1",)"
      R"("tenants":[{"name":"a","api_keys":["secret-2","secret-3"],)"
      R"("old_keys":["secret-4"],"rate_per_s":12.5,"burst":3,"priority":1},)"
      R"({"name":"b","api_keys":"secret-5"},{"name":"c","api_keys":[7]},)"
      R"({"name":"d"},"secret-6"],"limits":{"tx_idle_ms":3000}})";
  auto Copy = toOutcome([&] { return withCredentialDigests(Body); });
  ASSERT_TRUE(Copy);
  EXPECT_EQ(Copy.value().find("secret"), std::string::npos) << Copy.value();
  auto Original = toOutcome([&] { return decodeRouteTable(Body); });
  auto Copied = toOutcome([&] {
    return decodeRouteTable(Copy.value(), CredentialEntries::Digests);
  });
  ASSERT_TRUE(Original && Copied);
  EXPECT_EQ(Copied.value(), Original.value());
  EXPECT_EQ(decide(Copied.value(), "secret-3").Account.Value, "a");
  // A digest isn't a credential.
  EXPECT_TRUE(decide(Copied.value(), sha256Hex("secret-3")).Refusal);
}

TEST(StoredAccounts, CredentialOfTwoAccountsIsRefusedForBoth) {
  RouteTable Table =
      decode(R"(,"tenants":[{"name":"a","api_keys":["both","own"]},)"
             R"({"name":"b","api_keys":["both"]}])");
  EXPECT_EQ(decide(Table, "both").Refusal, AccountRefusal::CredentialAmbiguous);
  EXPECT_EQ(decide(Table, "own").Account.Value, "a");
}

} // namespace
} // namespace turmericpitch
