// Which idle connections are kept: more accounts than places at a member.
#include "limits/LinkEviction.h"

#include "core/RandomSource.h"
#include "limits/AccountUse.h"

#include <gtest/gtest.h>

#include <cmath>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

TEST(LinkEviction, TheAccountInSteadyUseIsKept) {
  EXPECT_EQ(rankIdleConnections(std::vector<double>{9, 1, 4}),
            (std::vector<std::size_t>{0, 2, 1}));
}

TEST(LinkEviction, OfEquallyUsedOnesTheLongestUnusedGoes) {
  EXPECT_EQ(rankIdleConnections(std::vector<double>{2, 2, 2}),
            (std::vector<std::size_t>{2, 1, 0}));
  EXPECT_TRUE(rankIdleConnections({}).empty());
}

/// A member with a few places for an instance, and accounts of very different
/// size whose statements come at random.
class LinkLoad {
public:
  explicit LinkLoad(std::size_t Accounts) {
    double Sum = 0;
    for (std::size_t Index = 0; Index < Accounts; ++Index)
      this->Cumulative.push_back(
          Sum += 1 / std::pow(static_cast<double>(Index + 1), Skew));
  }

  /// The fraction of statements that open a connection, if the weight of
  /// accounts counts or only the last use. From ShiftAt on, the accounts' ranks
  /// are reversed.
  double openings(std::size_t Places, bool ByUse, int ShiftAt = Statements) {
    RandomSource Random(1);
    AccountUse Use;
    std::vector<ClientAccountId> Held;
    int Opened = 0;
    int Counted = 0;
    for (int Count = 0; Count < Statements; ++Count) {
      TimePoint Now = at(Count * Interval);
      ClientAccountId Account = this->draw(Random, Count >= ShiftAt);
      Use.note(Account, Now);
      auto Found = std::find(Held.begin(), Held.end(), Account);
      // What it costs until the use is known isn't counted.
      bool Counts =
          Count >= Warmup && (Count < ShiftAt || Count >= ShiftAt + Warmup);
      Counted += Counts ? 1 : 0;
      if (Found != Held.end())
        Held.erase(Found);
      else
        Opened += Counts ? 1 : 0;
      if (Held.size() == Places)
        Held.erase(Held.begin() + evicted(Held, ByUse ? &Use : nullptr, Now));
      Held.push_back(Account);
    }
    return static_cast<double>(Opened) / Counted;
  }

private:
  static constexpr double Skew = 1.1;
  static constexpr int Statements = 20'000;
  static constexpr int Warmup = 2'000;
  /// In milliseconds.
  static constexpr int Interval = 25;

  /// The index of the connection that makes room; Held is in the order of last
  /// use.
  static std::ptrdiff_t evicted(const std::vector<ClientAccountId> &Held,
                                const AccountUse *Use, TimePoint Now) {
    std::vector<double> Weights;
    for (const ClientAccountId &Each : Held)
      Weights.push_back(Use ? Use->weight(Each, Now) : 0);
    return static_cast<std::ptrdiff_t>(rankIdleConnections(Weights).back());
  }

  ClientAccountId draw(RandomSource &Random, bool Reversed) {
    double Point = Random.fraction() * this->Cumulative.back();
    auto Index = static_cast<std::size_t>(
        std::lower_bound(this->Cumulative.begin(), this->Cumulative.end(),
                         Point) -
        this->Cumulative.begin());
    if (Reversed)
      Index = this->Cumulative.size() - 1 - Index;
    return {std::to_string(Index)};
  }

  std::vector<double> Cumulative;
};

class LinkEvictionLoadTest : public testing::TestWithParam<std::size_t> {};

/// 85 accounts and a few places: fewer openings than by last use alone, also
/// after the accounts have changed places.
TEST_P(LinkEvictionLoadTest, KeepsConnectionsOfAccountsInSteadyUse) {
  LinkLoad Load(85);
  double ByLastUse = Load.openings(this->GetParam(), false);
  double ByUse = Load.openings(this->GetParam(), true);
  double Shifted = Load.openings(this->GetParam(), true, 10'000);
  RecordProperty("by_last_use", std::to_string(ByLastUse));
  RecordProperty("by_use", std::to_string(ByUse));
  RecordProperty("shifted", std::to_string(Shifted));
  EXPECT_LT(ByUse, 0.95 * ByLastUse);
  EXPECT_LT(Shifted, 0.95 * ByLastUse);
}

INSTANTIATE_TEST_SUITE_P(Places, LinkEvictionLoadTest,
                         testing::Values(2, 4, 12), [](const auto &Info) {
                           return std::to_string(Info.param) + "Places";
                         });

/// With a place for each account, nothing is opened again.
TEST(LinkEviction, OpensNothingAgainWithAPlaceForEachAccount) {
  EXPECT_LT(LinkLoad(5).openings(5, true), 0.001);
}

} // namespace
} // namespace turmericpitch
