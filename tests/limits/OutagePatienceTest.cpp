#include "limits/OutagePatience.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const TimePoint Arrived(milliseconds(5000));
const TimePoint Deadline(milliseconds(6000));
const OutagePatienceOptions Options;

TEST(OutagePatience, WaitsForAPrimaryThatComesInTime) {
  EXPECT_TRUE(
      decidePatience(Options, Arrived, Deadline, milliseconds(900), Arrived)
          .Wait);
}

TEST(OutagePatience, RefusesAtOnceWhatCannotBeServedInTime) {
  PatienceVerdict Verdict =
      decidePatience(Options, Arrived, Deadline, milliseconds(950), Arrived);
  EXPECT_FALSE(Verdict.Wait);
  EXPECT_EQ(Verdict.ComeBackAfter, milliseconds(950));
}

TEST(OutagePatience, WaitsOnlyAMomentWhenNothingIsKnown) {
  auto At = [](int Milliseconds) {
    return decidePatience(Options, Arrived, Deadline, std::nullopt,
                          Arrived + milliseconds(Milliseconds));
  };
  EXPECT_TRUE(At(149).Wait);
  EXPECT_FALSE(At(150).Wait);
  EXPECT_EQ(At(150).ComeBackAfter, Options.ComeBackAfter);
}

} // namespace
} // namespace turmericpitch
