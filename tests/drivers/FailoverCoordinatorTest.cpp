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

/// A store, one service with one member, and a dispatcher, on one loop.
class Surroundings {
public:
  Surroundings()
      : Group(Loop.get_executor(), Service.Value),
        Store(Loop.get_executor(), {.Address = ownAddress(), .Port = 0}, Group),
        Dispatcher(
            Loop.get_executor(), {.Self = {"front-2"}, .Zone = {"a"}},
            [](const ServiceId &) { return std::optional<PrimaryLease>(); },
            [](const ServiceId &) { return std::optional<Duration>(); }) {
    sendLogTo("");
  }

  [[nodiscard]] bool start() {
    if (!this->Group.add("m1", {.Address = ownAddress(), .Port = 0}) ||
        !this->Store.start())
      return false;
    Endpoint Where{.Address = ownAddress(), .Port = this->Store.port()};
    this->Client.emplace(
        this->Loop.get_executor(),
        StoreClientOptions{.Store = Where, .Promotions = Where});
    RegistryChange Change;
    for (const SessionGroupMember &Each : this->Group.members())
      Change.Added.push_back({.Id = {Each.Id},
                              .Service = Service,
                              .Where = Each.Where,
                              .Zone = {"a"},
                              .Role = MemberRole::Primary});
    this->Dispatcher.onRegistry(Change, RouteController(), 2);
    return true;
  }

  /// Runs the loop until Done() or the timeout; returns Done().
  template <typename Condition> bool runUntil(Condition Done) {
    TimePoint Deadline = BootClock().now() + TestTimeout;
    while (!Done() && BootClock().now() < Deadline)
      this->Loop.run_one();
    return Done();
  }

  std::unique_ptr<FailoverCoordinator>
  coordinator(FailoverCoordinatorOptions Options,
              const InstanceRegistry &Registry) {
    Options.Zone = {"a"};
    return std::make_unique<FailoverCoordinator>(
        this->Loop.get_executor(), Options, *this->Client, Registry,
        this->Dispatcher,
        FailoverCoordinator::VersionHooks{.Own = [] { return KnownVersions{}; },
                                          .OnOther = [](const InstanceId &,
                                                        const KnownVersions &,
                                                        TimePoint) {}});
  }

private:
  boost::asio::io_context Loop;
  SessionGroup Group;
  RevisionStore Store;
  std::optional<StoreClient> Client;
  StatementDispatcher Dispatcher;
};

std::vector<RegisteredInstance> instances(int Count) {
  std::vector<RegisteredInstance> Listed;
  for (int Index = 0; Index < Count; ++Index)
    Listed.push_back(
        {.Id = {"front-" + std::to_string(Index)},
         .PeerEndpoint = {.Address = ownAddress(),
                          .Port = static_cast<std::uint16_t>(PeerPort + Index)},
         .Zone = {"a"}});
  return Listed;
}

/// An instance of a large fleet that isn't the first to write records. Seen in
/// the load test "sabedge large trouble-3": with 118 instances, most of them
/// still waited for their turn when the store failed, half a minute after the
/// records were written, and granted nothing.
TEST(FailoverCoordinator, KnownRecordEndsTheWaitForTheTurnToWriteIt) {
  Surroundings Around;
  ASSERT_TRUE(Around.start());
  // Each of several instances: all but one of them have a rank above 0.
  std::vector<RegisteredInstance> Listed = instances(3);
  std::vector<std::unique_ptr<InstanceRegistry>> Registries;
  std::vector<std::unique_ptr<FailoverCoordinator>> Coordinators;
  for (const RegisteredInstance &Each : Listed) {
    Registries.push_back(std::make_unique<InstanceRegistry>(Each.Id));
    Registries.back()->onListing(Listed, BootClock().now());
    FailoverCoordinatorOptions Options;
    Options.Self = Each.Id;
    Options.Listen = Each.PeerEndpoint;
    Options.InstallRankDelay = RankDelay;
    Coordinators.push_back(Around.coordinator(Options, *Registries.back()));
    ASSERT_TRUE(Coordinators.back()->start());
  }
  EXPECT_TRUE(Around.runUntil([&] {
    return std::all_of(
        Coordinators.begin(), Coordinators.end(), [](const auto &Each) {
          return Each->leases().record(Service) && Each->isIdle();
        });
  }));
}

/// The reader found no records, and waits for the first one. Once it has
/// written that record, it must renew the lease at its normal interval, not
/// after the wait.
TEST(FailoverCoordinator, ReaderRenewsAsSoonAsTheFirstRecordIsWritten) {
  Surroundings Around;
  ASSERT_TRUE(Around.start());
  std::vector<RegisteredInstance> Listed = instances(1);
  InstanceRegistry Registry(Listed.front().Id);
  Registry.onListing(Listed, BootClock().now());
  FailoverCoordinatorOptions Options;
  Options.Self = Listed.front().Id;
  Options.Listen = Listed.front().PeerEndpoint;
  Options.FirstRecordInterval = RankDelay;
  auto Reader = Around.coordinator(Options, Registry);
  ASSERT_TRUE(Reader->start());
  ASSERT_TRUE(Around.runUntil(
      [&] { return Reader->leases().oldestReadSentAt().has_value(); }));
  TimePoint Written = *Reader->leases().oldestReadSentAt();
  EXPECT_TRUE(Around.runUntil(
      [&] { return *Reader->leases().oldestReadSentAt() > Written; }));
}

} // namespace
} // namespace turmericpitch
