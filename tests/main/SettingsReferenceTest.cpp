#include "main/DaemonSettings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <set>
#include <sstream>

namespace turmericpitch {
namespace {

/// Settings with an unknown key in every mapping. The error message lists the
/// supported keys of each mapping.
constexpr const char *UnknownKeys = R"(
zz: 1
listen: {zz: 1}
peers: [{zz: 1}]
token_keys: [{zz: 1}]
peer_keys: [{zz: 1}]
tls: {zz: 1}
routing: {zz: 1}
failover: {zz: 1}
drain: {zz: 1}
)";

std::set<std::string> supportedKeys() {
  auto Settings =
      toOutcome([] { return parseDaemonSettings(UnknownKeys, "settings"); });
  std::set<std::string> Keys;
  if (Settings)
    return Keys;
  std::regex Line("settings:\\d+: (\\S*)zz: unknown key; remove it or use one "
                  "of: ([^\n]*)");
  std::string Message = Settings.error().Message;
  for (std::sregex_iterator At(Message.begin(), Message.end(), Line), End;
       At != End; ++At) {
    std::string Prefix =
        std::regex_replace((*At)[1].str(), std::regex("\\[0\\]"), "[]");
    std::stringstream Names((*At)[2].str());
    std::string Name;
    while (std::getline(Names, Name, ','))
      Keys.insert(Prefix + Name.substr(Name.find_first_not_of(' ')));
  }
  return Keys;
}

std::set<std::string> documentedKeys() {
  std::ifstream Stream(std::string(SOURCE_DIRECTORY) +
                       "/docs/operators/settings.md");
  std::regex Row("^\\| `([^`]+)` \\|.*");
  std::set<std::string> Keys;
  std::string Line;
  std::smatch Match;
  while (std::getline(Stream, Line))
    if (std::regex_match(Line, Match, Row))
      Keys.insert(Match[1].str());
  return Keys;
}

TEST(SettingsReference, ListsExactlyTheSupportedKeys) {
  EXPECT_GT(supportedKeys().size(), 30U);
  EXPECT_EQ(documentedKeys(), supportedKeys());
}

} // namespace
} // namespace turmericpitch
