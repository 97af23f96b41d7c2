#include "routing/CapacityEstimate.h"

#include <array>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TEST(CapacityEstimate, SumsTheSharesAtTheSlowestMembersPace) {
  std::array<MemberCandidate, 3> Members;
  Members[0].Share = 2;
  Members[0].TypicalServiceTime = milliseconds(20);
  Members[1].Share = 1;
  Members[1].TypicalServiceTime = milliseconds(30);
  Members[2].Excluded = true;
  Members[2].TypicalServiceTime = milliseconds(900);
  EXPECT_EQ(estimateCapacity(Members),
            (CapacityEstimate{.StartInterval = milliseconds(10),
                              .ServiceTime = milliseconds(30)}));
}

TEST(CapacityEstimate, NothingIsKnownWithoutAUsableMember) {
  std::array<MemberCandidate, 1> Members;
  Members[0].Excluded = true;
  EXPECT_FALSE(estimateCapacity(Members));
  EXPECT_FALSE(estimateCapacity({}));
}

} // namespace
} // namespace turmericpitch
