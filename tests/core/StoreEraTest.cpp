#include "core/StoreEra.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

TEST(StoreEra, LaterErasComeLaterWhateverTheRevision) {
  EXPECT_LT(positionInHistory({1}, 900), positionInHistory({2}, 7));
  EXPECT_LT(positionInHistory({2}, 7), positionInHistory({2}, 8));
}

TEST(StoreEra, PositionsKeepBothParts) {
  Revision Position = positionInHistory({3}, 41);
  EXPECT_EQ(eraOf(Position).Value, 3U);
  EXPECT_EQ(storeRevisionOf(Position), 41U);
  // A store that was never restored has its own revisions as positions.
  EXPECT_EQ(positionInHistory({0}, 41).Value, 41U);
}

} // namespace
} // namespace turmericpitch
