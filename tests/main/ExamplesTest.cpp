#include "configuration/ConfigurationSnapshot.h"
#include "main/DaemonSettings.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace turmericpitch {
namespace {

std::string readFile(const std::filesystem::path &Path) {
  std::ifstream Stream(Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

std::vector<std::filesystem::path> findExamples(const std::string &Prefix) {
  std::vector<std::filesystem::path> Found;
  for (const auto &Entry : std::filesystem::recursive_directory_iterator(
           std::string(SOURCE_DIRECTORY) + "/examples"))
    if (Entry.path().filename().string().starts_with(Prefix))
      Found.push_back(Entry.path());
  return Found;
}

TEST(Examples, SettingsAreValid) {
  auto Files = findExamples("entry-");
  EXPECT_EQ(Files.size(), 9U);
  for (const auto &File : Files) {
    auto Settings = toOutcome(
        [&] { return parseDaemonSettings(readFile(File), File.string()); });
    EXPECT_TRUE(Settings) << Settings.error().Message;
  }
}

TEST(Examples, TicketsYieldValidConfigurations) {
  auto Files = findExamples("ticket-");
  EXPECT_EQ(Files.size(), 3U);
  for (const auto &File : Files) {
    auto Parsed =
        toOutcome([&] { return parseTicket(readFile(File), File.string()); });
    ASSERT_TRUE(Parsed) << Parsed.error().Message;
    auto Built = toOutcome(
        [&] { return ConfigurationSnapshot().withChange(Parsed.value()); });
    EXPECT_TRUE(Built) << Built.error().Message;
  }
}

} // namespace
} // namespace turmericpitch
