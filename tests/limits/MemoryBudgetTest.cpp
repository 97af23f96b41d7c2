#include "limits/MemoryBudget.h"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace turmericpitch {
namespace {

using enum SessionMemory;

constexpr MemoryBudgetOptions Small{.Shared = 1000, .Allowance = 100};

TEST(MemoryBudget, AllowancesAreGrantedWhenTheRestIsUsedUp) {
  auto Budget = std::make_shared<MemoryBudget>(Small);
  MemoryShare Large(Budget);
  EXPECT_TRUE(Large.hold(Input, 1100));
  EXPECT_FALSE(Large.hold(Queue, 1));
  EXPECT_TRUE(Large.exhausted());
  MemoryShare Other(Budget);
  EXPECT_TRUE(Other.hold(Input, 60));
  EXPECT_TRUE(Other.hold(State, 40));
  EXPECT_EQ(Budget->sharedInUse(), 1000U);
  EXPECT_EQ(Budget->held(Input), 1160U);
}

TEST(MemoryBudget, TheLargestHolderGivesWay) {
  auto Budget = std::make_shared<MemoryBudget>(Small);
  MemoryShare Large(Budget);
  MemoryShare Middle(Budget);
  int Reclaimed = 0;
  Large.onReclaimed([&] { ++Reclaimed; });
  Middle.onReclaimed([&] { ADD_FAILURE() << "a smaller holder gave way"; });
  EXPECT_TRUE(Large.hold(Input, 700));
  EXPECT_TRUE(Middle.hold(State, 500));
  MemoryShare Asker(Budget);
  EXPECT_TRUE(Asker.hold(Output, 200));
  EXPECT_EQ(Reclaimed, 1);
  EXPECT_TRUE(Large.exhausted());
  EXPECT_FALSE(Large.hold(Input, 701));
  EXPECT_EQ(Budget->sharedInUse(), 500U);
  EXPECT_EQ(Budget->reclaimed(), 1U);
  // The asker itself is refused once it would be the largest.
  MemoryShare Greedy(Budget);
  EXPECT_FALSE(Greedy.hold(Input, 700));
  EXPECT_EQ(Greedy.held(Input), 0U);
}

TEST(MemoryBudget, ReleasedBytesCanBeHeldAgain) {
  auto Budget = std::make_shared<MemoryBudget>(Small);
  MemoryShare Other(Budget);
  {
    MemoryShare Ended(Budget);
    EXPECT_TRUE(Ended.hold(Input, 1100));
    EXPECT_FALSE(Other.hold(Input, 1100));
  }
  EXPECT_EQ(Budget->held(Input), 0U);
  EXPECT_TRUE(Other.hold(Input, 1100));
  Other.shrink(Input, 150);
  EXPECT_EQ(Budget->sharedInUse(), 50U);
}

// Whatever the sessions do, the shared bytes stay within the budget, and a
// session within its allowance is never refused and never gives way.
RC_GTEST_PROP(MemoryBudget, HoldersStayWithinTheBudget, ()) {
  struct Step {
    std::size_t Session;
    SessionMemory Kind;
    std::size_t Bytes;
  };
  constexpr std::size_t Sessions = 6;
  auto Steps = *rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
      rc::gen::inRange<std::size_t>(0, Sessions),
      rc::gen::element(Input, Queue, Statement, Output, State),
      rc::gen::inRange<std::size_t>(0, 800)));
  auto Budget = std::make_shared<MemoryBudget>(Small);
  std::vector<std::unique_ptr<MemoryShare>> Shares(Sessions);
  for (const Step &Each : Steps) {
    auto &Share = Shares[Each.Session];
    if (!Share || Share->exhausted())
      Share = std::make_unique<MemoryShare>(Budget);
    std::size_t Total = Each.Bytes;
    for (SessionMemory Kind : {Input, Queue, Statement, Output, State})
      Total += Kind == Each.Kind ? 0 : Share->held(Kind);
    std::uint64_t Before = Budget->reclaimed();
    bool Granted = Share->hold(Each.Kind, Each.Bytes);
    RC_ASSERT(Budget->sharedInUse() <= Small.Shared);
    RC_ASSERT(Granted || Total > Small.Allowance);
    RC_ASSERT(Budget->reclaimed() == Before || Total > Small.Allowance);
    RC_ASSERT(Share->held(Each.Kind) == Each.Bytes || !Granted);
  }
  Shares.clear();
  RC_ASSERT(Budget->sharedInUse() == 0U);
  RC_ASSERT(Budget->held(Input) == 0U);
}

TEST(SessionCapacity, FitsTheLimitsOfTheProcess) {
  constexpr std::size_t MiB = std::size_t{1024} * 1024;
  for (std::size_t Memory : {16 * MiB, 160 * MiB, 512 * MiB, 4096 * MiB})
    for (std::size_t Descriptors :
         std::vector<std::size_t>{1, 201, 1024, 4300, 100000}) {
      SessionCapacity Capacity = sessionCapacity(Memory, Descriptors);
      EXPECT_GE(Capacity.MaximumSessions, 1U);
      EXPECT_LT(Capacity.MaximumSessions,
                std::max<std::size_t>(Descriptors, 2));
      EXPECT_LE(Capacity.MaximumSessions * Capacity.Memory.Allowance +
                    Capacity.Memory.Shared,
                Memory / 2);
    }
}

// A limit of some hundred files left a single session.
TEST(SessionCapacity, MostDescriptorsServeSessions) {
  for (std::size_t Descriptors : std::vector<std::size_t>{16, 64, 256, 1024})
    EXPECT_GE(sessionCapacity(std::size_t{512} * 1024 * 1024, Descriptors)
                  .MaximumSessions,
              Descriptors / 2)
        << Descriptors;
}

} // namespace
} // namespace turmericpitch
