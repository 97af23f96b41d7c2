#include "membership/ReplayGuard.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

TEST(ReplayGuard, AdmitsEachMessageOnceInAnyOrderWithinItsWindow) {
  ReplayGuard Guard;
  EXPECT_TRUE(Guard.admit(Incarnation{5}, 10));
  EXPECT_FALSE(Guard.admit(Incarnation{5}, 10));
  EXPECT_TRUE(Guard.admit(Incarnation{5}, 9));
  EXPECT_FALSE(Guard.admit(Incarnation{5}, 9));
  EXPECT_TRUE(Guard.admit(Incarnation{5}, 200));
  EXPECT_FALSE(Guard.admit(Incarnation{5}, 200 - ReplayGuard::WindowSize));
  EXPECT_TRUE(Guard.admit(Incarnation{5}, 201 - ReplayGuard::WindowSize));
}

TEST(ReplayGuard, RejectsEarlierIncarnations) {
  ReplayGuard Guard;
  EXPECT_TRUE(Guard.admit(Incarnation{5}, 10));
  EXPECT_TRUE(Guard.admit(Incarnation{6}, 1));
  EXPECT_FALSE(Guard.admit(Incarnation{5}, 11));
  EXPECT_TRUE(Guard.admit(Incarnation{6}, 2));
}

} // namespace
} // namespace turmericpitch
