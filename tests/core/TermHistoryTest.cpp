#include "core/LogPosition.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

TermHistory twoTerms() {
  return TermHistory({{Term{1}, LogPosition{0}}, {Term{2}, LogPosition{5}}});
}

TEST(TermHistory, ContainsOnlyEntriesOfItsTerms) {
  TermHistory History = twoTerms();
  EXPECT_TRUE(History.contains({Term{1}, LogPosition{5}}, LogPosition{9}));
  EXPECT_FALSE(History.contains({Term{1}, LogPosition{6}}, LogPosition{9}));
  EXPECT_TRUE(History.contains({Term{2}, LogPosition{6}}, LogPosition{9}));
  EXPECT_FALSE(History.contains({Term{2}, LogPosition{10}}, LogPosition{9}));
  EXPECT_FALSE(History.contains({Term{3}, LogPosition{6}}, LogPosition{9}));
}

TEST(TermHistory, RecognizesEntriesDiscardedByAPromotion) {
  TermHistory History = twoTerms();
  EXPECT_TRUE(History.discards({Term{1}, LogPosition{6}}));
  EXPECT_FALSE(History.discards({Term{1}, LogPosition{5}}));
  EXPECT_FALSE(History.discards({Term{2}, LogPosition{100}}));
  EXPECT_FALSE(History.discards({Term{3}, LogPosition{100}}));
  EXPECT_FALSE(History.discards({}));
}

TEST(TermHistory, FindsTheTermOfAnEntry) {
  EXPECT_EQ(twoTerms().entryAt(LogPosition{5}).WrittenIn, Term{1});
  EXPECT_EQ(twoTerms().entryAt(LogPosition{6}).WrittenIn, Term{2});
}

} // namespace
} // namespace turmericpitch
