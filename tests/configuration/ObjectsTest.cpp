#include "configuration/Objects.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

struct ReadAccount {
  ClientAccount Account;
  std::vector<YamlProblem> Problems;
};

ReadAccount readFrom(const std::string &Text) {
  YamlProblems Problems("ticket");
  ReadAccount Read;
  if (auto Node = parseYamlMapping(Text, Problems)) {
    YamlReader Reader(*Node, "", Problems);
    Read.Account = readClientAccount(Reader);
  }
  Read.Problems = Problems.all();
  return Read;
}

std::string accountText(const std::string &Limit) {
  return "name: desk\nbrand: kaveri\nservices: [orders]\ncredential_digest: " +
         std::string(64, 'd') + "\n" + Limit;
}

TEST(ClientAccount, LimitIsOptional) {
  EXPECT_FALSE(readFrom(accountText("")).Account.Limit);
  ReadAccount Read =
      readFrom(accountText("limit: {per_second: 360, burst: 40}\n"));
  EXPECT_TRUE(Read.Problems.empty());
  EXPECT_EQ(Read.Account.Limit,
            (OperationLimit{.PerSecond = 360, .Burst = 40}));
}

TEST(ClientAccount, JsonIsReadAgainAsTheSameAccount) {
  for (const char *Limit : {"", "limit: {per_second: 360, burst: 40}\n",
                            "limit: {per_second: 1}\n"}) {
    ReadAccount Read = readFrom(accountText(Limit));
    ReadAccount Again = readFrom(toJson(Read.Account));
    EXPECT_TRUE(Again.Problems.empty());
    EXPECT_EQ(Again.Account, Read.Account);
  }
}

TEST(ClientAccount, UnusableLimitsAreProblems) {
  for (const char *Limit :
       {"limit: {per_second: 0}\n", "limit: {burst: 5}\n",
        "limit: {per_second: -3}\n", "limit: {per_second: many}\n",
        "limit: {per_second: 5, burst: -1}\n",
        "limit: {per_second: 5, brust: 1}\n", "limit: 5\n"})
    EXPECT_FALSE(readFrom(accountText(Limit)).Problems.empty()) << Limit;
}

} // namespace
} // namespace turmericpitch
