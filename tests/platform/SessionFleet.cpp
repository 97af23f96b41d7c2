#include "tests/platform/SessionFleet.h"

#include "core/DecisionLog.h"
#include "tests/support/OwnAddress.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr std::uint16_t SessionPort = 8784;
constexpr std::uint16_t ReadyPort = 8785;
constexpr std::uint16_t PeerPort = 7440;
/// Fails a test that would otherwise hang.
constexpr auto StartTimeout = std::chrono::seconds(60);

/// Loopback addresses of one process: the first is ownAddress(), the others
/// differ in their second byte, which ownAddress() leaves below 66.
std::string fleetAddress(std::size_t Instance) {
  constexpr std::size_t AddressesApart = 66;
  std::string Own = ownAddress();
  std::size_t Second = Own.find('.') + 1;
  std::size_t Third = Own.find('.', Second);
  std::size_t Byte = std::stoul(Own.substr(Second, Third - Second));
  return "127." + std::to_string(Byte + Instance * AddressesApart) +
         Own.substr(Third);
}

std::string configurationText(int Version,
                              const std::vector<std::string> &Databases) {
  std::string Routes;
  for (const std::string &Each : Databases)
    Routes += std::string(Routes.empty() ? "" : ",") + R"({"name":"r-)" + Each +
              R"(","host":")" + Each +
              R"(","kind":"read_your_writes","service":"ledger",)"
              R"("timeout_ms":1000,"latency_goal_ms":400,"priority":1,)"
              R"("max_staleness_ms":2500})";
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         Routes +
         R"(],"services":[{"name":"ledger","max_conns":20}],)"
         R"("limits":{"tx_idle_ms":3000}})";
}

/// Tells the registration of a former process from that of a daemon.
constexpr std::string_view FormerMark = R"("former":1)";

std::string registrationKey(std::size_t Index) {
  return "turmericpitch/instances/front-" + std::to_string(Index + 1);
}

} // namespace

SessionFleet::SessionFleet(Duration ConfigurationApplyTimeout)
    : ApplyTimeout(ConfigurationApplyTimeout),
      Group(this->Loop.get_executor(), "ledger"),
      Store(this->Loop.get_executor(), {.Address = ownAddress(), .Port = 0},
            this->Group) {
  sendLogTo("");
  for (const char *Id : {"m1", "m2", "m3"})
    EXPECT_TRUE(this->Group.add(Id, {.Address = ownAddress(), .Port = 0}));
  this->Store.put("op/config", configurationText(2, {"bookings"}));
  for (const SessionGroupMember &Each : this->Group.members())
    this->Store.put("servers/" + Each.Id,
                    R"({"service":"ledger","addr":")" + toString(Each.Where) +
                        R"(","zone":"a","version":"v1","slots":3,)"
                        R"("state":"ready","seq":1,"db_role":")" +
                        (Each.Primary ? "primary" : "replica") + R"("})");
  for (std::size_t Index = 0; Index < Size; ++Index) {
    FleetInstance &Each = this->Instances.at(Index);
    Each.Address = fleetAddress(Index);
    Each.Store = std::make_unique<StoreDoor>(
        this->Loop.get_executor(), Endpoint{.Address = ownAddress(), .Port = 0},
        this->Store);
    EXPECT_TRUE(Each.Store->start());
  }
  // The fleet has run before, so that the first grantor set has all instances
  // even if one of them starts late.
  for (std::size_t Index = 0; Index < Size; ++Index)
    this->Store.put(registrationKey(Index),
                    R"({"peers":")" +
                        toString(Endpoint{.Address = fleetAddress(Index),
                                          .Port = PeerPort}) +
                        R"(","zone":"a",)" + std::string(FormerMark) + "}");
  this->StandInThread = std::thread([this] { this->Loop.run(); });
  for (std::size_t Index = 0; Index < Size; ++Index) {
    FleetInstance &Each = this->Instances.at(Index);
    SessionDaemonOptions Options;
    Options.Grantors.StableListTime = Duration{0};
    Each.Daemon =
        std::make_unique<SessionDaemon>(this->settings(Index), Options);
    Each.Thread = std::thread([&Each] { EXPECT_TRUE(Each.Daemon->run()); });
  }
  auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  for (std::size_t Index = 0; Index < Size; ++Index)
    EXPECT_TRUE(this->serves(Index, "bookings", [&] {
      return std::chrono::steady_clock::now() > Deadline;
    }));
  // All instances know each other once one of them reads for all.
  auto Registered = [this] {
    std::size_t Count = 0;
    for (std::size_t Index = 0; Index < Size; ++Index)
      Count += this->Store.value(registrationKey(Index)).find(FormerMark) ==
                       std::string::npos
                   ? 1
                   : 0;
    return Count;
  };
  while (this->onStandIns(Registered) < Size &&
         std::chrono::steady_clock::now() < Deadline)
    std::this_thread::yield();
}

SessionFleet::~SessionFleet() {
  for (std::size_t Index = 0; Index < Size; ++Index)
    this->kill(Index);
  this->Loop.stop();
  this->StandInThread.join();
}

InstanceSettings SessionFleet::settings(std::size_t Instance) {
  const FleetInstance &Own = this->Instances.at(Instance);
  InstanceSettings Settings;
  Settings.Self = {"front-" + std::to_string(Instance + 1)};
  Settings.Zone = {"a"};
  Settings.Address = Own.Address;
  Settings.Sessions = {.Address = Own.Address, .Port = SessionPort};
  Settings.Readiness = {.Address = Own.Address, .Port = ReadyPort};
  Settings.FirstPeerPort = PeerPort;
  Settings.LastPeerPort = PeerPort + 1;
  Settings.Store = {.Address = ownAddress(), .Port = Own.Store->port()};
  Settings.Promotions = Settings.Store;
  Settings.ConfigurationApplyTimeout = this->ApplyTimeout;
  return Settings;
}

void SessionFleet::configure(int Version,
                             const std::vector<std::string> &Databases) {
  this->put("op/config", configurationText(Version, Databases));
}

void SessionFleet::put(const std::string &Key, const std::string &Value) {
  this->onStandIns([&] {
    this->Store.put(Key, Value);
    return 0;
  });
}

std::string SessionFleet::value(const std::string &Key) {
  return this->onStandIns([&] { return this->Store.value(Key); });
}

std::string SessionFleet::startupReply(std::size_t Instance,
                                       const std::string &Database) {
  asio::io_context Waiting;
  asio::ip::tcp::socket Socket(Waiting);
  boost::system::error_code Failure;
  Socket.connect({asio::ip::make_address(this->Instances.at(Instance).Address),
                  SessionPort},
                 Failure);
  if (!Failure)
    asio::write(Socket, asio::buffer("STARTUP " + Database + " tester\r\n"),
                Failure);
  std::string Line;
  if (!Failure)
    asio::read_until(Socket, asio::dynamic_buffer(Line), "\r\n", Failure);
  return Failure ? "" : Line.substr(0, Line.find('\r'));
}

bool SessionFleet::serves(std::size_t Instance, const std::string &Database,
                          const std::function<bool()> &GiveUp) {
  while (!GiveUp()) {
    if (this->startupReply(Instance, Database) == "READY I -")
      return true;
    std::this_thread::yield();
  }
  return false;
}

std::size_t SessionFleet::reader() {
  // The reader lists the records four times a second; the others only while
  // they start.
  constexpr std::uint64_t Listings = 12;
  std::array<std::uint64_t, Size> Before{};
  for (std::size_t Index = 0; Index < Size; ++Index)
    Before.at(Index) =
        this->onStandIns([&] { return this->door(Index).recordListings(); });
  auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  while (std::chrono::steady_clock::now() < Deadline) {
    for (std::size_t Index = 0; Index < Size; ++Index)
      if (this->onStandIns([&] { return this->door(Index).recordListings(); }) >
          Before.at(Index) + Listings)
        return Index;
    std::this_thread::yield();
  }
  ADD_FAILURE() << "no instance reads the store";
  return 0;
}

void SessionFleet::kill(std::size_t Instance) {
  FleetInstance &Ended = this->Instances.at(Instance);
  if (!Ended.Daemon)
    return;
  Ended.Daemon->abort();
  Ended.Thread.join();
  Ended.Daemon.reset();
}

std::function<bool()> SessionFleet::afterRenewals(std::size_t Instance,
                                                  std::uint64_t Count) {
  auto Renewals = [this, Instance] {
    return this->onStandIns([&] { return this->door(Instance).renewals(); });
  };
  return [Renewals, Bound = Renewals() + Count] { return Renewals() >= Bound; };
}

} // namespace turmericpitch
