// Real daemons follow the configuration while their connections to the store
// fall silent, or the store turns them away.
#include "tests/platform/SessionFleet.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

/// The longest that the users' platform states. Renewals are half as far
/// apart, so the third one after a change comes no earlier than this bound.
constexpr Duration ApplyTimeout = 2 * SessionFleet::RenewalInterval;
constexpr std::uint64_t RenewalsInBound = 3;

class ConfigurationFollowTest : public ::testing::Test {
protected:
  /// Routes a new database, and expects each of these instances to serve it
  /// before Clock, another instance of them, has renewed its registration so
  /// often that the time to apply a configuration is over.
  void expectApplied(const std::vector<std::size_t> &Instances,
                     std::size_t Clock) {
    auto Over = this->Fleet.afterRenewals(Clock, RenewalsInBound);
    this->Fleet.configure(4, {"bookings", "repairs"});
    for (std::size_t Each : Instances)
      EXPECT_TRUE(this->Fleet.serves(Each, "repairs", Over))
          << "instance " << Each;
  }

  SessionFleet Fleet{ApplyTimeout};
};

TEST_F(ConfigurationFollowTest, SilentWatchesAndTheLossOfTheReader) {
  std::size_t Reader = this->Fleet.reader();
  this->Fleet.onStandIns([&] {
    for (std::size_t Index = 0; Index < SessionFleet::Size; ++Index)
      this->Fleet.door(Index).silenceConnections();
    return 0;
  });
  this->Fleet.kill(Reader);
  std::vector<std::size_t> Left;
  for (std::size_t Index = 0; Index < SessionFleet::Size; ++Index)
    if (Index != Reader)
      Left.push_back(Index);
  this->expectApplied(Left, Left.front());
}

// The same for the members, whose list no watch follows: a draining primary is
// replaced before it ends.
TEST_F(ConfigurationFollowTest,
       MembersAfterSilentConnectionsAndTheLossOfTheReader) {
  std::size_t Reader = this->Fleet.reader();
  std::size_t Left = (Reader + 1) % SessionFleet::Size;
  this->Fleet.onStandIns([&] {
    for (std::size_t Index = 0; Index < SessionFleet::Size; ++Index)
      this->Fleet.door(Index).silenceConnections();
    return 0;
  });
  this->Fleet.kill(Reader);
  auto Over = this->Fleet.afterRenewals(Left, RenewalsInBound);
  std::string Entry = this->Fleet.value("servers/m1");
  Entry.replace(Entry.find("ready"), 5, "draining");
  this->Fleet.put("servers/m1", Entry);
  auto IsReplaced = [this] {
    return this->Fleet.onStandIns([this] {
      for (const SessionGroupMember &Each : this->Fleet.group().members())
        if (Each.Primary)
          return Each.Id != "m1";
      return false;
    });
  };
  while (!IsReplaced() && !Over())
    std::this_thread::yield();
  EXPECT_TRUE(IsReplaced());
}

TEST_F(ConfigurationFollowTest, StoreTurnsAwayAnInstance) {
  std::size_t Reader = this->Fleet.reader();
  std::size_t TurnedAway = (Reader + 1) % SessionFleet::Size;
  this->Fleet.onStandIns([&] {
    this->Fleet.door(TurnedAway).setUnavailable(true);
    return 0;
  });
  // The watch that was open has ended by then.
  constexpr std::uint64_t Refusals = 4;
  auto Over = this->Fleet.afterRenewals(Reader, RenewalsInBound);
  while (!Over() && this->Fleet.onStandIns([&] {
    return this->Fleet.door(TurnedAway).refusals();
  }) < Refusals)
    std::this_thread::yield();
  this->expectApplied({TurnedAway}, Reader);
}

TEST_F(ConfigurationFollowTest, StoreIsSilentToAnInstance) {
  std::size_t Reader = this->Fleet.reader();
  std::size_t TurnedAway = (Reader + 1) % SessionFleet::Size;
  this->Fleet.onStandIns([&] {
    this->Fleet.door(TurnedAway).silenceConnections();
    this->Fleet.door(TurnedAway).setSilent(true);
    return 0;
  });
  this->expectApplied({TurnedAway}, Reader);
}

} // namespace
} // namespace turmericpitch
