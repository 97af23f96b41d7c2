// The coordinator on loopback, with stand-ins for the store and the members.
#include "drivers/FailoverCoordinator.h"
#include "core/DecisionLog.h"
#include "tests/platform/RevisionStore.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

namespace turmericpitch {
namespace {

const ServiceId Service{"ledger"};
/// Longer than any test; ranks above 0 would wait this long.
constexpr Duration RankDelay = std::chrono::hours(1);
constexpr Duration TestTimeout = std::chrono::seconds(60);
constexpr std::uint16_t PeerPort = 7441;

std::string ownAddress() {
  auto Id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (Id >> 16U) % 254) + "." +
         std::to_string((Id >> 8U) % 256) + "." + std::to_string(1 + Id % 254);
}

/// An instance of a large fleet that isn't the first to write records. Seen in
/// the load test "sabedge large trouble-3": with 118 instances, most of them
/// still waited for their turn when the store failed, half a minute after the
/// records were written, and granted nothing.
TEST(FailoverCoordinator, KnownRecordEndsTheWaitForTheTurnToWriteIt) {
  sendLogTo("");
  boost::asio::io_context Loop;
  SessionGroup Group(Loop.get_executor(), Service.Value);
  ASSERT_TRUE(Group.add("m1", {.Address = ownAddress(), .Port = 0}));
  RevisionStore Store(Loop.get_executor(), {.Address = ownAddress(), .Port = 0},
                      Group);
  ASSERT_TRUE(Store.start());
  StoreClient Client(
      Loop.get_executor(),
      {.Store = {.Address = ownAddress(), .Port = Store.port()},
       .Promotions = {.Address = ownAddress(), .Port = Store.port()}});
  StatementDispatcher Dispatcher(
      Loop.get_executor(), {.Self = {"front-2"}, .Zone = {"a"}},
      [](const ServiceId &) { return std::optional<PrimaryLease>(); },
      [](const ServiceId &) { return std::optional<Duration>(); });
  RegistryChange Change;
  for (const SessionGroupMember &Each : Group.members())
    Change.Added.push_back({.Id = {Each.Id},
                            .Service = Service,
                            .Where = Each.Where,
                            .Zone = {"a"},
                            .Role = MemberRole::Primary});
  Dispatcher.onRegistry(Change, RouteController(), 2);
  // Each of several instances: all but one of them have a rank above 0.
  std::vector<RegisteredInstance> Listed;
  for (int Index = 0; Index < 3; ++Index)
    Listed.push_back(
        {.Id = {"front-" + std::to_string(Index)},
         .PeerEndpoint = {.Address = ownAddress(),
                          .Port = static_cast<std::uint16_t>(PeerPort + Index)},
         .Zone = {"a"}});
  std::vector<std::unique_ptr<InstanceRegistry>> Registries;
  std::vector<std::unique_ptr<FailoverCoordinator>> Coordinators;
  for (const RegisteredInstance &Each : Listed) {
    Registries.push_back(std::make_unique<InstanceRegistry>(Each.Id));
    Registries.back()->onListing(Listed, BootClock().now());
    FailoverCoordinatorOptions Options;
    Options.Self = Each.Id;
    Options.Zone = {"a"};
    Options.Listen = Each.PeerEndpoint;
    Options.InstallRankDelay = RankDelay;
    Coordinators.push_back(std::make_unique<FailoverCoordinator>(
        Loop.get_executor(), Options, Client, *Registries.back(), Dispatcher,
        FailoverCoordinator::VersionHooks{
            .Own = [] { return KnownVersions{}; },
            .OnOther = [](const KnownVersions &, TimePoint) {}}));
    ASSERT_TRUE(Coordinators.back()->start());
  }
  auto AllIdle = [&] {
    return std::all_of(
        Coordinators.begin(), Coordinators.end(), [](const auto &Each) {
          return Each->leases().record(Service) && Each->isIdle();
        });
  };
  TimePoint Deadline = BootClock().now() + TestTimeout;
  while (!AllIdle() && BootClock().now() < Deadline)
    Loop.run_one();
  EXPECT_TRUE(AllIdle());
}

} // namespace
} // namespace turmericpitch
