#include "membership/InstanceRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace turmericpitch {
namespace {

InstanceRecord drawRecord() {
  auto IncarnationNumber = *rc::gen::inRange<std::uint64_t>(1, 4);
  return {
      .Id = InstanceId{"entry-1"},
      .Zone = ZoneId{"vatva"},
      // An incarnation is one process with one address.
      .PeerEndpoint = {.Address = "10.0.0.1",
                       .Port = static_cast<std::uint16_t>(IncarnationNumber)},
      .IncarnationNumber = Incarnation{IncarnationNumber},
      .Leaving = *rc::gen::arbitrary<bool>(),
      .Health = *rc::gen::element(InstanceHealth::Live, InstanceHealth::Suspect,
                                  InstanceHealth::Dead)};
}

RC_GTEST_PROP(InstanceRecord, MergeDoesNotDependOnOrder, ()) {
  InstanceRecord A = drawRecord();
  InstanceRecord B = drawRecord();
  InstanceRecord C = drawRecord();
  RC_ASSERT(merged(A, B) == merged(B, A));
  RC_ASSERT(merged(A, A) == A);
  RC_ASSERT(merged(merged(A, B), C) == merged(A, merged(B, C)));
}

RC_GTEST_PROP(InstanceRecord, NeverGoesBackWithinAnIncarnation, ()) {
  InstanceRecord A = drawRecord();
  InstanceRecord B = drawRecord();
  InstanceRecord Both = merged(A, B);
  RC_ASSERT(Both.IncarnationNumber ==
            std::max(A.IncarnationNumber, B.IncarnationNumber));
  if (Both.IncarnationNumber == A.IncarnationNumber) {
    RC_ASSERT(Both.Health >= A.Health);
    RC_ASSERT(Both.Leaving || !A.Leaving);
  }
}

} // namespace
} // namespace turmericpitch
