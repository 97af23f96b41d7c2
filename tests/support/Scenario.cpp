#include "tests/support/Scenario.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace turmericpitch {

void runScenario(const std::string &Path, EventQueue &Queue,
                 const StepHandlers &Handlers) {
  std::ifstream Stream(Path);
  ASSERT_TRUE(Stream) << "cannot read scenario file " << Path;
  std::ostringstream Text;
  Text << Stream.rdbuf();
  YamlProblems Problems(Path);
  auto Root = parseYamlMapping(Text.str(), Problems);
  ASSERT_TRUE(Root) << toString(Problems.all().front());
  YamlReader Reader(*Root, "", Problems);
  SCOPED_TRACE(Path + ": " + Reader.text("scenario"));
  std::vector<YamlReader> Steps = Reader.mappings("steps");
  Reader.finish();
  ASSERT_FALSE(Steps.empty()) << Path << " has no steps";
  Duration Last{0};
  for (YamlReader &Step : Steps) {
    Last = Step.duration("at", {.Min = Last});
    std::string Action = Step.text("do");
    auto Handler = Handlers.find(Action);
    ASSERT_NE(Handler, Handlers.end())
        << Path << ": no handler for step '" << Action << "'";
    Queue.runUntil(TimePoint(Last));
    SCOPED_TRACE("step '" + Action + "' at " + std::to_string(Last.count()) +
                 " us");
    Handler->second(Step);
    Step.finish();
    for (const YamlProblem &Problem : Problems.all())
      ADD_FAILURE() << toString(Problem);
    if (::testing::Test::HasFatalFailure() || !Problems.none())
      return;
  }
  Queue.runUntil(TimePoint(Last));
}

std::vector<std::string> scenarioFiles(const std::string &Folder) {
  std::vector<std::string> Files;
  for (const auto &Entry : std::filesystem::directory_iterator(
           std::string(SCENARIO_DIRECTORY) + "/" + Folder))
    if (Entry.path().extension() == ".yaml")
      Files.push_back(Entry.path().string());
  std::sort(Files.begin(), Files.end());
  return Files;
}

std::string scenarioName(const std::string &Path) {
  std::string Name = std::filesystem::path(Path).stem().string();
  std::replace_if(
      Name.begin(), Name.end(),
      [](unsigned char Character) { return std::isalnum(Character) == 0; },
      '_');
  return Name;
}

} // namespace turmericpitch
