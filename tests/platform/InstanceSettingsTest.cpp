#include "platform/InstanceSettings.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

const std::string ValidSettings = R"(node: "front-a-1"
zone: "a"
ip: "10.1.0.8"
listen:
  front: "10.1.0.8:8784"
  ready: "10.1.0.8:8785"
internal_ports:
  - 7440
  - 7455
heartbeat_ms: 1200
bounds:
  grace_s: 6
platform:
  addr: "10.200.1.7:8783"
  form: "kv"
cloud_api:
  addr: "10.200.0.160:8783"
something_new: [1, 2]
)";

TEST(InstanceSettings, IgnoresUnknownFields) {
  auto Settings =
      toOutcome([] { return decodeInstanceSettings(ValidSettings, "f"); });
  ASSERT_TRUE(Settings) << Settings.error().Message;
  EXPECT_EQ(Settings.value().Self.Value, "front-a-1");
  EXPECT_EQ(Settings.value().Sessions.Port, 8784);
  EXPECT_EQ(Settings.value().LastPeerPort, 7455);
  EXPECT_EQ(Settings.value().StopGracePeriod, std::chrono::seconds(6));
}

TEST(InstanceSettings, ErrorNamesTheInvalidField) {
  auto Message = [](const std::string &From, const std::string &To) {
    std::string Text = ValidSettings;
    Text.replace(Text.find(From), From.size(), To);
    auto Settings =
        toOutcome([&] { return decodeInstanceSettings(Text, "f"); });
    return Settings ? std::string() : Settings.error().Message;
  };
  EXPECT_NE(Message("node:", "nodes:").find("node"), std::string::npos);
  EXPECT_NE(Message("10.1.0.8:8784", "here").find("listen.front"),
            std::string::npos);
  EXPECT_NE(Message("  - 7455\n", "").find("internal_ports"),
            std::string::npos);
  EXPECT_NE(Message("7455", "port").find("internal_ports"), std::string::npos);
  EXPECT_NE(Message("grace_s: 6", "grace_s: six").find("bounds.grace_s"),
            std::string::npos);
}

TEST(InstanceSettings, ReadsTheLimitsOfTheProcess) {
  std::string Text = ValidSettings + "limits:\n  cpu_share: 0.38\n"
                                     "  memory_mb: 390\n  max_fds: 6300\n";
  auto Settings = toOutcome([&] { return decodeInstanceSettings(Text, "f"); });
  ASSERT_TRUE(Settings) << Settings.error().Message;
  EXPECT_EQ(Settings.value().MemoryLimit, std::size_t{390} * 1024 * 1024);
  EXPECT_EQ(Settings.value().DescriptorLimit, 6300U);
}

/// ValidSettings with one key of a section, or at the top level, replaced.
Outcome<InstanceSettings> withValue(const std::string &Section,
                                    const std::string &Key,
                                    const std::string &Value) {
  std::string Text = "\n" + ValidSettings;
  std::string Line = Section.empty() ? Key : Section + ":\n  " + Key;
  Line += ": " + Value + "\n";
  // The only section with a figure is written anew.
  constexpr std::string_view Bounds = "bounds:\n  grace_s: 6\n";
  if (Section == "bounds" || Key == "bounds")
    Text.erase(Text.find(Bounds), Bounds.size());
  std::size_t Old = Text.find("\n" + Key + ":");
  if (Section.empty() && Old != std::string::npos)
    Text.erase(Old, Text.find('\n', Old + 1) - Old);
  return toOutcome([&] { return decodeInstanceSettings(Text + Line, "f"); });
}

struct FigureCase {
  const char *Section;
  const char *Key;
};

class InstanceSettingsFigureTest : public testing::TestWithParam<FigureCase> {};

// A bound with a fraction, which the platform allows, ended each process at its
// next start (review/14).
TEST_P(InstanceSettingsFigureTest, TakesEachFigureThatThePlatformAllows) {
  const FigureCase &Case = this->GetParam();
  for (const char *Value :
       {"0", "1", "6.5", "0.5", ".5", "6.", "6e3", "1.5E+3", "+7", "1000000000",
        "1e300", "true", "false", "\"6.5\"", "null", "~", ""}) {
    auto Settings = withValue(Case.Section, Case.Key, Value);
    EXPECT_TRUE(Settings) << Case.Key << ": " << Value << ": "
                          << Settings.error().Message;
  }
  for (const char *Value : {"six", "[6]", "{a: 6}", ".nan", ".inf"})
    EXPECT_FALSE(withValue(Case.Section, Case.Key, Value))
        << Case.Key << ": " << Value;
}

INSTANTIATE_TEST_SUITE_P(
    Keys, InstanceSettingsFigureTest,
    testing::Values(FigureCase{"bounds", "grace_s"},
                    FigureCase{"bounds", "config_apply_ms"},
                    FigureCase{"limits", "memory_mb"},
                    FigureCase{"limits", "max_fds"},
                    FigureCase{"", "heartbeat_ms"}),
    [](const auto &Info) { return std::string(Info.param.Key); });

TEST(InstanceSettings, FractionsKeepTheirValue) {
  EXPECT_EQ(withValue("bounds", "grace_s", "6.5").value().StopGracePeriod,
            std::chrono::milliseconds(6500));
  EXPECT_EQ(withValue("bounds", "config_apply_ms", "2999.5")
                .value()
                .ConfigurationApplyTimeout,
            std::chrono::microseconds(2'999'500));
  EXPECT_EQ(withValue("limits", "memory_mb", "390.5").value().MemoryLimit,
            std::size_t{781} * 512 * 1024);
  EXPECT_EQ(withValue("limits", "max_fds", "6300.9").value().DescriptorLimit,
            6300U);
  // True and false are no figure.
  EXPECT_EQ(withValue("bounds", "grace_s", "false").value().StopGracePeriod,
            InstanceSettings().StopGracePeriod);
}

TEST(InstanceSettings, SectionsAndUnexplainedKeysMayBeEmpty) {
  for (const char *Key : {"bounds", "limits", "data_dir", "contracts", "zones",
                          "fault_tolerance", "seeds"})
    EXPECT_TRUE(withValue("", Key, "")) << Key;
}

TEST(InstanceSettings, NamesMayHaveAnyPrintableCharacters) {
  EXPECT_EQ(withValue("", "zone", "guj/west+1").value().Zone.Value,
            "guj/west+1");
  EXPECT_FALSE(withValue("", "node", "\"front 1\""));
  EXPECT_FALSE(withValue("", "node", "\"\""));
}

} // namespace
} // namespace turmericpitch
