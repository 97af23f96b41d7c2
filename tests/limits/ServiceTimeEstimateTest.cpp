#include "limits/ServiceTimeEstimate.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Ten statements a second of the same time, from Began on for Length.
TimePoint run(ServiceTimeEstimate &Work, Duration Took, TimePoint Began,
              Duration Length) {
  TimePoint Now = Began;
  for (; Now < Began + Length; Now += milliseconds(100))
    Work.observe(Took, Now);
  return Now;
}

TEST(ServiceTimeEstimate, IsTheAssumedTimeUntilAWindowIsOver) {
  ServiceTimeEstimate Work({.Initial = milliseconds(30)});
  EXPECT_EQ(Work.value(), milliseconds(30));
  run(Work, milliseconds(12), TimePoint(seconds(100)), seconds(6));
  EXPECT_EQ(Work.value(), milliseconds(12));
}

// A primary was overloaded for 20 s after its replicas had fallen behind.
TEST(ServiceTimeEstimate, AnOverloadDoesNotPassForUsual) {
  ServiceTimeEstimate Work;
  TimePoint Now =
      run(Work, milliseconds(33), TimePoint(seconds(1)), seconds(7));
  Now = run(Work, milliseconds(250), Now, seconds(20));
  EXPECT_EQ(Work.value(), milliseconds(33));
  // Work that has changed for good is taken over in time.
  run(Work, milliseconds(250), Now, seconds(20));
  EXPECT_EQ(Work.value(), milliseconds(250));
}

TEST(ServiceTimeEstimate, FewObservationsProveNothing) {
  ServiceTimeEstimate Work({.Initial = milliseconds(30)});
  Work.observe(milliseconds(1), TimePoint(seconds(10)));
  Work.observe(milliseconds(1), TimePoint(seconds(20)));
  Work.observe(milliseconds(1), TimePoint(seconds(30)));
  EXPECT_EQ(Work.value(), milliseconds(30));
}

} // namespace
} // namespace turmericpitch
