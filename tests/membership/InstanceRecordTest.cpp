#include "membership/InstanceRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace turmericpitch {
namespace {

InstanceRecord drawRecord() {
  auto Life = *rc::gen::inRange<std::uint64_t>(1, 4);
  return {.Id = InstanceId{"entry-1"},
          .Zone = ZoneId{"vatva"},
          // One incarnation is one process at one address.
          .Peers = {.Address = "10.0.0.1",
                    .Port = static_cast<std::uint16_t>(Life)},
          .Life = Incarnation{Life},
          .Leaving = *rc::gen::arbitrary<bool>(),
          .Health =
              *rc::gen::element(InstanceHealth::Live, InstanceHealth::Suspect,
                                InstanceHealth::Dead)};
}

RC_GTEST_PROP(InstanceRecord, MergesAlikeInEveryOrder, ()) {
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
  RC_ASSERT(Both.Life == std::max(A.Life, B.Life));
  if (Both.Life == A.Life) {
    RC_ASSERT(Both.Health >= A.Health);
    RC_ASSERT(Both.Leaving || !A.Leaving);
  }
}

} // namespace
} // namespace turmericpitch
