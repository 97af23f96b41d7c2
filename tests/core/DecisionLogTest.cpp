#include "core/DecisionLog.h"

#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace turmericpitch {
namespace {

TEST(DecisionLog, NoTextEndsALine) {
  std::string Path =
      testing::TempDir() + "decision-log-" + std::to_string(getpid()) + ".log";
  sendLogTo(Path);
  writeWarning("event=odd key=a\nINFO decision=start\r");
  writeDecision(DecisionLine("route").field("name", "b\nc \"d\""));
  sendLogTo("");
  std::ifstream File(Path);
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(File, Line);)
    Lines.push_back(Line);
  ASSERT_EQ(Lines.size(), 2U);
  EXPECT_TRUE(Lines[0].ends_with("event=odd key=a INFO decision=start "));
  EXPECT_TRUE(Lines[1].ends_with(R"(decision=route name="b c \"d\"")"));
}

} // namespace
} // namespace turmericpitch
