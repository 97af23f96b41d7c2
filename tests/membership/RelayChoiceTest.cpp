#include "membership/RelayChoice.h"

#include <gtest/gtest.h>
#include <set>

namespace turmericpitch {
namespace {

const ZoneId Zone{"b"};
const RegisteredInstance First{.Id = {"f"}, .PeerEndpoint = {}, .Zone = {"a"}};
const RegisteredInstance Second{.Id = {"s"}, .PeerEndpoint = {}, .Zone = {"b"}};
const RegisteredInstance Third{.Id = {"t"}, .PeerEndpoint = {}, .Zone = {"b"}};

RelayChoice choose(const std::vector<RelayView> &Relays, std::size_t Turn,
                   std::uint64_t Seed = 0) {
  return chooseRelay({}, Relays, Zone, false, Seed, Turn);
}

// An instance queried nobody any more once all relays had been silent to it,
// for example across a short partition, and heard of no new version.
TEST(RelayChoice, RelaysThatWereSilentAreQueriedAgain) {
  std::set<const RegisteredInstance *> Queried;
  for (std::size_t Turn = 0; Turn < 10; ++Turn) {
    RelayChoice Choice = choose(
        {{.Entry = &First, .Silent = true}, {.Entry = &Second, .Silent = true}},
        Turn);
    EXPECT_EQ(Choice.Source, nullptr);
    if (Choice.Silent)
      Queried.insert(Choice.Silent);
  }
  EXPECT_EQ(Queried, (std::set{&First, &Second}));
}

TEST(RelayChoice, InstancesSpreadOverTheRelaysOfTheirZone) {
  std::vector<RelayView> Relays{
      {.Entry = &First}, {.Entry = &Second}, {.Entry = &Third}};
  EXPECT_EQ(choose(Relays, 1, 6).Source, &Second);
  EXPECT_EQ(choose(Relays, 2, 7).Source, &Third);
  Relays[1].MissedLast = Relays[2].MissedLast = true;
  EXPECT_EQ(choose(Relays, 3, 6).Source, &First);
  // A relay queries the reader.
  EXPECT_EQ(chooseRelay({}, Relays, Zone, true, 6, 1).Source, &First);
}

} // namespace
} // namespace turmericpitch
