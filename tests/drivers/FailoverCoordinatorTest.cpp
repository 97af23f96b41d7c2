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

  /// The store's list also names Strangers as primaries of the service.
  [[nodiscard]] bool
  start(const std::vector<RegisteredMember> &Strangers = {}) {
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
    Change.Added.insert(Change.Added.end(), Strangers.begin(), Strangers.end());
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

  RevisionStore &store() { return this->Store; }

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

class SoleInstance {
public:
  explicit SoleInstance(Surroundings &Around)
      : Listed(instances(1)), Registry(this->Listed.front().Id) {
    this->Registry.onListing(this->Listed, BootClock().now());
    FailoverCoordinatorOptions Options;
    Options.Self = this->Listed.front().Id;
    Options.Listen = this->Listed.front().PeerEndpoint;
    this->Coordinator = Around.coordinator(Options, this->Registry);
  }

  [[nodiscard]] bool start() { return bool(this->Coordinator->start()); }
  [[nodiscard]] const PrimaryRecord *record() const {
    return this->Coordinator->leases().record(Service);
  }
  [[nodiscard]] bool leads(const std::string &Member) const {
    return this->record() && this->record()->Phase == PrimaryPhase::Open &&
           this->record()->Primary.Value == Member;
  }

private:
  std::vector<RegisteredInstance> Listed;
  InstanceRegistry Registry;
  std::unique_ptr<FailoverCoordinator> Coordinator;
};

// Nobody wrote the first record of a service while another writer's entry
// claimed to be its primary, too, so none of its statements was served.
TEST(FailoverCoordinator, FirstRecordDoesNotWaitForAStrangersClaim) {
  Surroundings Around;
  constexpr std::uint16_t NobodyListens = 1;
  ASSERT_TRUE(
      Around.start({{.Id = {"stranger"},
                     .Service = Service,
                     .Where = {.Address = ownAddress(), .Port = NobodyListens},
                     .Zone = {"a"},
                     .Role = MemberRole::Primary}}));
  SoleInstance Own(Around);
  ASSERT_TRUE(Own.start());
  EXPECT_TRUE(Around.runUntil([&] { return Own.leads("m1"); }));
}

// A record that another writer had overwritten kept its service refused until
// it was deleted by hand.
TEST(FailoverCoordinator, UnreadableRecordIsReplaced) {
  for (const char *Odd : {"", "[[", R"({"reign":-1,"primary":"m1"})"}) {
    Surroundings Around;
    ASSERT_TRUE(Around.start());
    SoleInstance Own(Around);
    ASSERT_TRUE(Own.start());
    ASSERT_TRUE(Around.runUntil([&] { return Own.leads("m1"); }));
    std::uint64_t Epoch = Own.record()->Epoch;
    Around.store().put(primaryRecordKey(Service), Odd);
    EXPECT_TRUE(Around.runUntil([&] { return !Own.leads("m1"); }));
    EXPECT_TRUE(Around.runUntil([&] { return Own.leads("m1"); })) << Odd;
    if (Own.record()) {
      EXPECT_GT(Own.record()->Epoch, Epoch);
    }
  }
}

// The record that was written in place of a deleted one began again with the
// first epoch, so log positions and leases of two lines of history were the
// same.
TEST(FailoverCoordinator, RecordThatIsWrittenAnewBeginsAboveEarlierEpochs) {
  Surroundings Around;
  ASSERT_TRUE(Around.start());
  SoleInstance Own(Around);
  ASSERT_TRUE(Own.start());
  ASSERT_TRUE(Around.runUntil([&] { return Own.leads("m1"); }));
  std::uint64_t Epoch = Own.record()->Epoch;
  Around.store().erase(primaryRecordKey(Service));
  ASSERT_TRUE(Around.runUntil([&] { return !Own.record(); }));
  ASSERT_TRUE(Around.runUntil([&] { return Own.leads("m1"); }));
  EXPECT_GT(Own.record()->Epoch, Epoch);
}

// An unreadable record of a fleet whose processes have all started since.
TEST(FailoverCoordinator, UnreadableRecordIsReplacedByAFleetThatStarts) {
  Surroundings Around;
  Around.store().put(primaryRecordKey(Service), "[[");
  ASSERT_TRUE(Around.start());
  SoleInstance Own(Around);
  ASSERT_TRUE(Own.start());
  EXPECT_TRUE(Around.runUntil([&] { return Own.leads("m1"); }));
}

} // namespace
} // namespace turmericpitch
