#include "tools/LoadPlan.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace turmericpitch {
namespace {

std::string readFile(const std::string &Path) {
  std::ifstream Stream(std::string(SOURCE_DIRECTORY) + "/" + Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

TEST(LoadPlan, ParsesTheExamplePlans) {
  for (const char *Path :
       {"examples/load/sabarmati.yaml", "examples/load/chechia.yaml"}) {
    auto Plan = toOutcome([&] { return parseLoadPlan(readFile(Path), Path); });
    ASSERT_TRUE(Plan) << Plan.error().Message;
    EXPECT_EQ(Plan.value().Fleet.Databases, 3U);
    EXPECT_FALSE(Plan.value().Faults.empty());
  }
}

TEST(LoadPlan, ReportsAllProblemsAtOnce) {
  auto Plan = toOutcome([] {
    return parseLoadPlan("name: x\nlength: 5\nmix: {bookings: 0, dispatches: "
                         "0, session_reads: 0, catalogue_reads: 0}\n"
                         "faults:\n  - {at: 1s, do: melt}\nwrong: 1\n",
                         "plan.yaml");
  });
  ASSERT_FALSE(Plan);
  const std::string &Message = Plan.error().Message;
  EXPECT_NE(Message.find("plan.yaml:2: length"), std::string::npos) << Message;
  EXPECT_NE(Message.find("every weight is 0"), std::string::npos);
  EXPECT_NE(Message.find("unknown fault 'melt'"), std::string::npos);
  EXPECT_NE(Message.find("wrong: unknown key"), std::string::npos);
}

} // namespace
} // namespace turmericpitch
