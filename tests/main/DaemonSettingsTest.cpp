#include "main/DaemonSettings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace turmericpitch {
namespace {

std::string quickstartSettings() {
  std::ifstream Stream(std::string(SOURCE_DIRECTORY) +
                       "/examples/quickstart/entry-1.yaml");
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

Outcome<DaemonSettings> parse(const std::string &Text) {
  return toOutcome([&] { return parseDaemonSettings(Text, "entry.yaml"); });
}

TEST(DaemonSettings, ParsesTheQuickstartExample) {
  auto Settings = parse(quickstartSettings());
  ASSERT_TRUE(Settings) << Settings.error().Message;
  EXPECT_EQ(Settings.value().Self, InstanceId{"entry-1"});
}

struct InvalidSetting {
  std::string Added;
  std::string Expected;
};

class InvalidSettings : public ::testing::TestWithParam<InvalidSetting> {};

TEST_P(InvalidSettings, AreReportedWithKeyAndRemedy) {
  auto Settings = parse(quickstartSettings() + GetParam().Added);
  ASSERT_FALSE(Settings);
  EXPECT_EQ(Settings.error().Kind, ErrorKind::BadRequest);
  EXPECT_NE(Settings.error().Message.find(GetParam().Expected),
            std::string::npos)
      << Settings.error().Message;
}

INSTANTIATE_TEST_SUITE_P(
    Each, InvalidSettings,
    ::testing::Values(
        InvalidSetting{"colour: red\n", "colour: unknown key; remove it"},
        InvalidSetting{"threads: many\n", "threads: wrong type"},
        InvalidSetting{"threads: 0\n", "threads: out of range; use a number"},
        InvalidSetting{"routing: {replica_wait: 20}\n",
                       "routing.replica_wait: wrong unit or type"},
        InvalidSetting{"failover: {probe_interval: 1h}\n",
                       "failover.probe_interval: out of range"},
        InvalidSetting{"peers: [{instance: e, address: nowhere, "
                       "availability_zone: z}]\n",
                       "peers[0].address: invalid address"},
        InvalidSetting{"threads: 2\nthreads: 3\n", "threads: duplicate key"}));

TEST(DaemonSettings, ReportsAllMissingKeysAtOnce) {
  auto Settings = parse("instance: e\n");
  ASSERT_FALSE(Settings);
  for (const char *Key : {"availability_zone", "listen.callers", "platform",
                          "token_keys", "peer_keys"})
    EXPECT_NE(Settings.error().Message.find(Key), std::string::npos) << Key;
}

TEST(DaemonSettings, RejectsInputThatIsNotAYamlMapping) {
  EXPECT_FALSE(parse("{"));
  EXPECT_FALSE(parse("- a\n"));
  EXPECT_FALSE(parse(std::string("a: \0", 4)));
}

} // namespace
} // namespace turmericpitch
