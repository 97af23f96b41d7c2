#include "limits/ServiceTimeEstimate.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Observes ten statements per second that each take Took, from Began on for
/// Length. Returns the end time.
TimePoint run(ServiceTimeEstimate &Estimate, Duration Took, TimePoint Began,
              Duration Length) {
  TimePoint Now = Began;
  for (; Now < Began + Length; Now += milliseconds(100))
    Estimate.observe(Took, Now);
  return Now;
}

TEST(ServiceTimeEstimate, UsesInitialValueUntilFirstAverage) {
  ServiceTimeEstimate Estimate({.Initial = milliseconds(30)});
  EXPECT_EQ(Estimate.value(), milliseconds(30));
  run(Estimate, milliseconds(12), TimePoint(seconds(100)), seconds(6));
  EXPECT_EQ(Estimate.value(), milliseconds(12));
}

// Guards against taking the waiting time of an overload for service time. Seen
// when a primary was overloaded for 20 s after its replicas had fallen behind.
TEST(ServiceTimeEstimate, OverloadDoesNotRaiseTheEstimate) {
  ServiceTimeEstimate Estimate;
  TimePoint Now =
      run(Estimate, milliseconds(33), TimePoint(seconds(1)), seconds(7));
  Now = run(Estimate, milliseconds(250), Now, seconds(20));
  EXPECT_EQ(Estimate.value(), milliseconds(33));
  // A permanent change is adopted once all windows show it.
  run(Estimate, milliseconds(250), Now, seconds(20));
  EXPECT_EQ(Estimate.value(), milliseconds(250));
}

TEST(ServiceTimeEstimate, IgnoresWindowsWithFewObservations) {
  ServiceTimeEstimate Estimate({.Initial = milliseconds(30)});
  Estimate.observe(milliseconds(1), TimePoint(seconds(10)));
  Estimate.observe(milliseconds(1), TimePoint(seconds(20)));
  Estimate.observe(milliseconds(1), TimePoint(seconds(30)));
  EXPECT_EQ(Estimate.value(), milliseconds(30));
}

} // namespace
} // namespace turmericpitch
