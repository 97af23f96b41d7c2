#include "limits/StoreBackoff.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TEST(StoreBackoff, DoublesUpToTheMaximumAndResets) {
  RandomSource Random(1);
  StoreBackoff Backoff({.Jitter = 0});
  EXPECT_EQ(Backoff.onFailed(Random), milliseconds(200));
  EXPECT_EQ(Backoff.onFailed(Random), milliseconds(400));
  EXPECT_EQ(Backoff.onFailed(Random), milliseconds(800));
  EXPECT_EQ(Backoff.onFailed(Random), milliseconds(1600));
  EXPECT_EQ(Backoff.onFailed(Random), milliseconds(1600));
  Backoff.onAnswered();
  EXPECT_EQ(Backoff.onFailed(Random), milliseconds(200));
}

// Guards against retries flooding a store that is down. The store refuses 37
// instances for five seconds, each with three repeated calls; 3,500 calls were
// counted in such a load test without back-off.
TEST(StoreBackoff, BoundsCallsDuringAnOutageOfFiveSeconds) {
  RandomSource Random(7);
  int Calls = 0;
  for (int Caller = 0; Caller < 37 * 3; ++Caller) {
    StoreBackoff Backoff;
    for (Duration Now{0}; Now < milliseconds(5000);
         Now += Backoff.onFailed(Random))
      ++Calls;
  }
  EXPECT_LT(Calls, 800);
}

} // namespace
} // namespace turmericpitch
