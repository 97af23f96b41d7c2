#include "limits/ServiceTimeEstimate.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Observes ten statements per second that each take Took, from Began on for
/// Length. Returns the end time.
TimePoint run(ServiceTimeEstimate &Work, Duration Took, TimePoint Began,
              Duration Length) {
  TimePoint Now = Began;
  for (; Now < Began + Length; Now += milliseconds(100))
    Work.observe(Took, Now);
  return Now;
}

TEST(ServiceTimeEstimate, UsesInitialValueUntilFirstWindowIsComplete) {
  ServiceTimeEstimate Work({.Initial = milliseconds(30)});
  EXPECT_EQ(Work.value(), milliseconds(30));
  run(Work, milliseconds(12), TimePoint(seconds(100)), seconds(6));
  EXPECT_EQ(Work.value(), milliseconds(12));
}

// Guards against taking the waiting time of an overload for service time. Seen
// when a primary was overloaded for 20 s after its replicas had fallen behind.
TEST(ServiceTimeEstimate, OverloadDoesNotRaiseTheEstimate) {
  ServiceTimeEstimate Work;
  TimePoint Now =
      run(Work, milliseconds(33), TimePoint(seconds(1)), seconds(7));
  Now = run(Work, milliseconds(250), Now, seconds(20));
  EXPECT_EQ(Work.value(), milliseconds(33));
  // A permanent change is adopted once all windows show it.
  run(Work, milliseconds(250), Now, seconds(20));
  EXPECT_EQ(Work.value(), milliseconds(250));
}

TEST(ServiceTimeEstimate, IgnoresWindowsWithFewObservations) {
  ServiceTimeEstimate Work({.Initial = milliseconds(30)});
  Work.observe(milliseconds(1), TimePoint(seconds(10)));
  Work.observe(milliseconds(1), TimePoint(seconds(20)));
  Work.observe(milliseconds(1), TimePoint(seconds(30)));
  EXPECT_EQ(Work.value(), milliseconds(30));
}

} // namespace
} // namespace turmericpitch
