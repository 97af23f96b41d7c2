// End-to-end tests on loopback: callers, the daemon, and stand-ins for the
// platform's store and the members.
#include "main/SessionDaemon.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"
#include "tests/platform/RevisionStore.h"
#include "tests/support/OwnAddress.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace turmericpitch {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Fails a test that would otherwise hang.
constexpr auto TestTimeout = std::chrono::seconds(60);
constexpr std::uint16_t SessionPort = 8784;
constexpr std::uint16_t ReadyPort = 8785;
constexpr std::uint16_t PeerPort = 7440;

/// A blocking connection of one caller.
class Caller {
public:
  explicit Caller(const std::string &Database,
                  const std::string &Credential = "tester")
      : Socket(this->Loop) {
    asio::ip::tcp::endpoint Where(asio::ip::make_address(ownAddress()),
                                  SessionPort);
    this->Socket.connect(Where);
    this->write("STARTUP " + Database + " " + Credential + "\r\n");
    this->StartupReply = this->line();
  }

  /// Sends a statement and returns the lines of its reply.
  std::vector<std::string> query(const std::string &Id,
                                 const std::string &Text) {
    this->write("QUERY " + Id + " " + Text + "\r\n");
    std::vector<std::string> Lines;
    do
      Lines.push_back(this->line());
    while (!Lines.back().starts_with("READY") && !Lines.back().empty());
    return Lines;
  }

  /// Sends a statement without waiting for its reply.
  void sendQuery(const std::string &Id, const std::string &Text) {
    this->write("QUERY " + Id + " " + Text + "\r\n");
  }
  /// The next line; empty once the connection is closed.
  std::string nextLine() { return this->line(); }
  /// Sends bytes as they are and returns the next line.
  std::string send(const std::string &Bytes) {
    this->write(Bytes);
    return this->line();
  }

  /// Whether the connection ends without a further line.
  bool closed() { return this->line().empty(); }

  std::string StartupReply;

private:
  void write(const std::string &Bytes) {
    boost::system::error_code Ignored;
    asio::write(this->Socket, asio::buffer(Bytes), Ignored);
  }
  /// Reads a line; empty once the connection is closed.
  std::string line() {
    boost::system::error_code Failure;
    std::size_t Count = asio::read_until(
        this->Socket, asio::dynamic_buffer(this->Unread), "\r\n", Failure);
    if (Failure)
      return "";
    std::string Line = this->Unread.substr(0, Count - 2);
    this->Unread.erase(0, Count);
    return Line;
  }

  asio::io_context Loop;
  asio::ip::tcp::socket Socket;
  std::string Unread;
};

/// Accounts: the value of the configuration's list of them; empty for none.
std::string configuration(int Version, const std::string &Accounts = "",
                          int SynchronousReplicas = 0) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[)"
         R"({"name":"r1","host":"bookings","kind":"primary","service":"ledger",)"
         R"("timeout_ms":1000,"latency_goal_ms":200,"priority":1},)"
         R"({"name":"r2","host":"fittings","kind":"read_your_writes",)"
         R"("service":"ledger","timeout_ms":1000,"latency_goal_ms":400,)"
         R"("priority":2,"max_staleness_ms":2500}],)"
         R"("services":[{"name":"ledger","max_conns":20,"sync_replicas":)" +
         std::to_string(SynchronousReplicas) + "}]," +
         (Accounts.empty() ? "" : R"("tenants":)" + Accounts + ",") +
         R"("limits":{"tx_idle_ms":3000}})";
}

class SessionDaemonTest : public ::testing::Test {
protected:
  SessionDaemonTest()
      : Group(this->StandInLoop.get_executor(), "ledger"),
        Store(this->StandInLoop.get_executor(),
              {.Address = ownAddress(), .Port = 0}, this->Group) {
    sendLogTo("");
    for (const char *Id : {"m1", "m2", "m3"})
      EXPECT_TRUE(this->Group.add(Id, {.Address = ownAddress(), .Port = 0}));
    EXPECT_TRUE(this->Store.start());
    this->Store.put("op/config", configuration(2));
    this->registerMembers();
    this->StandInThread = std::thread([this] { this->StandInLoop.run(); });
    this->startDaemon();
    this->waitUntilServing();
  }

  ~SessionDaemonTest() override {
    this->killDaemon();
    this->StandInLoop.stop();
    this->StandInThread.join();
  }

  void startDaemon() {
    // A short validity suffices, as there is only one instance.
    SessionDaemonOptions Options;
    Options.Rules.RecordValidity = milliseconds(100);
    Options.Rules.RecordValidityMargin = milliseconds(10);
    Options.Grantors.StableListTime = Duration{0};
    // All members are listed from the start.
    Options.Replicas.UnlistedTimeout = milliseconds(1);
    Options.ReadSettings = this->ReadSettings;
    this->Daemon = std::make_unique<SessionDaemon>(this->settings(), Options);
    this->DaemonThread =
        std::thread([this] { this->RunResult = this->Daemon->run(); });
  }
  void killDaemon() {
    this->Daemon->abort();
    this->DaemonThread.join();
    EXPECT_TRUE(this->RunResult);
    this->Daemon.reset();
  }

  InstanceSettings settings() const {
    InstanceSettings Settings;
    Settings.Self = {"front-1"};
    Settings.Zone = {"a"};
    Settings.Address = ownAddress();
    Settings.Sessions = {.Address = ownAddress(), .Port = SessionPort};
    Settings.Readiness = {.Address = ownAddress(), .Port = ReadyPort};
    Settings.FirstPeerPort = Settings.LastPeerPort = PeerPort;
    Settings.Store = {.Address = ownAddress(), .Port = this->Store.port()};
    Settings.Promotions = Settings.Store;
    Settings.StopGracePeriod = this->StopGracePeriod;
    Settings.MemberHeartbeat = this->MemberHeartbeat;
    return Settings;
  }

  void registerMember(const SessionGroupMember &Each, bool Draining = false,
                      const std::string &Service = "ledger") {
    this->Store.put(
        "servers/" + Each.Id,
        R"({"service":")" + Service + R"(","addr":")" + toString(Each.Where) +
            R"(","zone":"a","version":"v1","slots":3,"state":")" +
            (Draining ? "draining" : "ready") +
            R"(","cold_left_ms":0,"seq":1,"born":1700000000000,"db_role":")" +
            (Each.Primary ? "primary" : "replica") + R"("})");
  }

  void registerMembers() {
    for (const SessionGroupMember &Each : this->Group.members())
      this->registerMember(Each);
    // Invalid entries of other writers must be ignored.
    this->Store.put("servers/stray", "no json");
    this->Store.put("servers/odd", R"({"service":7})");
  }

  /// Runs Work on the stand-ins' thread and returns its result.
  template <typename Callable> auto runOnStandIns(Callable Work) {
    std::packaged_task<decltype(Work())()> Task(Work);
    auto Done = Task.get_future();
    asio::post(this->StandInLoop, [&Task] { Task(); });
    return Done.get();
  }

  /// Retries a write until it succeeds; returns the statement ids of all
  /// attempts.
  std::vector<std::string> writeUntilDone(const std::string &Item,
                                          const std::string &Data) {
    std::vector<std::string> Ids;
    auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
    while (std::chrono::steady_clock::now() < Deadline) {
      try {
        Caller Session("bookings");
        Ids.push_back(Item + "-" + std::to_string(this->NextId++));
        auto Lines = Session.query(Ids.back(), "WRITE " + Item + " " + Data);
        if (Lines.front().starts_with("COMPLETE signed"))
          return Ids;
        this->Failures.push_back(Lines.front());
      } catch (const boost::system::system_error &) {
        // Not listening yet.
        std::this_thread::yield();
      }
    }
    ADD_FAILURE() << "no write succeeded";
    return Ids;
  }

  void waitUntilServing() { this->writeUntilDone("first", "1"); }

  asio::io_context StandInLoop;
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard{
      this->StandInLoop.get_executor()};
  SessionGroup Group;
  /// A second service, without members at first.
  SessionGroup Archive{this->StandInLoop.get_executor(), "archive"};
  RevisionStore Store;
  std::thread StandInThread;
  std::unique_ptr<SessionDaemon> Daemon;
  std::thread DaemonThread;
  Status RunResult;
  Duration StopGracePeriod = std::chrono::seconds(6);
  Duration MemberHeartbeat = milliseconds(100);
  std::function<Outcome<InstanceSettings>()> ReadSettings;
  std::vector<std::string> Failures;
  int NextId = 0;
};

TEST_F(SessionDaemonTest, ASessionReadsItsOwnWrites) {
  Caller Session("fittings");
  EXPECT_EQ(Session.StartupReply, "READY I -");
  auto Written = Session.query("w1", "WRITE hat 58cm");
  EXPECT_TRUE(Written.front().starts_with("COMPLETE signed-by-m1"));
  auto Read = Session.query("r1", "READ hat");
  ASSERT_EQ(Read.size(), 3U);
  EXPECT_EQ(Read[0], "DATAROW 58cm");
  EXPECT_TRUE(Read[1].starts_with("COMPLETE signed-by-"));
}

TEST_F(SessionDaemonTest, StaleReplicaDoesNotServeOwnWrites) {
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", true);
    this->Group.setReplicationPaused("m3", true);
    return 0;
  });
  Caller Session("fittings");
  Session.query("w1", "WRITE hat 58cm");
  for (int Index = 0; Index < 20; ++Index)
    EXPECT_EQ(Session.query("r" + std::to_string(Index), "READ hat").front(),
              "DATAROW 58cm");
}

// A session whose route moved to another service kept the position of its last
// write in the former one, so replicas served reads without its own commits.
TEST_F(SessionDaemonTest, OwnWritesAreReadAfterTheRouteMovedToAnotherService) {
  this->runOnStandIns([this] {
    this->Group.stop("m1");
    for (const char *Id : {"a1", "a2", "a3"})
      EXPECT_TRUE(this->Archive.add(Id, {.Address = ownAddress(), .Port = 0}));
    for (const SessionGroupMember &Each : this->Archive.members())
      this->registerMember(Each, false, "archive");
    return 0;
  });
  // The former service has had a failover.
  this->writeUntilDone("booking", "one");
  Caller Session("fittings");
  ASSERT_TRUE(
      Session.query("w", "WRITE hat 57cm").front().starts_with("COMPLETE"));
  std::string Moved = configuration(3);
  constexpr std::string_view Former = R"("service":"ledger")";
  Moved.replace(Moved.rfind(Former), Former.size(), R"("service":"archive")");
  constexpr std::string_view Services = R"("services":[)";
  Moved.insert(Moved.find(Services) + Services.size(),
               R"({"name":"archive","max_conns":20},)");
  this->runOnStandIns([&] {
    this->Store.put("op/config", Moved);
    return 0;
  });
  // Whoever serves the session now signs its writes.
  int Attempt = 0;
  auto Write = [&](const std::string &Data) {
    return Session.query("m" + std::to_string(Attempt++), "WRITE hat " + Data)
        .front();
  };
  while (!Write("58cm").starts_with("COMPLETE signed-by-a"))
    ASSERT_LT(Attempt, 100'000);
  this->runOnStandIns([this] {
    this->Archive.setReplicationPaused("a2", true);
    this->Archive.setReplicationPaused("a3", true);
    return 0;
  });
  ASSERT_TRUE(Write("59cm").starts_with("COMPLETE signed-by-a1"));
  for (int Index = 0; Index < 20; ++Index)
    EXPECT_EQ(Session.query("r" + std::to_string(Index), "READ hat").front(),
              "DATAROW 59cm");
}

TEST_F(SessionDaemonTest, TransactionIsAtomic) {
  Caller Session("bookings");
  EXPECT_EQ(Session.query("b", "BEGIN").back(), "READY T -");
  Session.query("w1", "WRITE job six");
  Caller Other("bookings");
  EXPECT_EQ(Other.query("r", "READ job").front(), "DATAROW ");
  EXPECT_TRUE(
      Session.query("c", "COMMIT").front().starts_with("COMPLETE signed"));
  EXPECT_EQ(Other.query("r2", "READ job").front(), "DATAROW six");
  Session.query("b2", "BEGIN");
  Session.query("w2", "WRITE job seven");
  EXPECT_EQ(Session.query("x", "ROLLBACK").front(), "COMPLETE -");
  EXPECT_EQ(Other.query("r3", "READ job").front(), "DATAROW six");
}

TEST_F(SessionDaemonTest, PreparedNamesAreLocalToTheSession) {
  Caller One("bookings");
  Caller Two("bookings");
  One.query("p1", "PREPARE s WRITE shape");
  Two.query("p2", "PREPARE s READ shape");
  EXPECT_TRUE(
      One.query("e1", "EXECUTE s job eight").front().starts_with("COMPLETE"));
  EXPECT_EQ(Two.query("e2", "EXECUTE s job").front(), "DATAROW eight");
  Two.query("d", "DEALLOC s");
  EXPECT_TRUE(Two.query("e3", "EXECUTE s job").front().starts_with("ERROR"));
}

TEST_F(SessionDaemonTest, UnknownDatabasesAndMalformedLinesAreRefused) {
  EXPECT_TRUE(Caller("nowhere").StartupReply.starts_with("ERROR NODB"));
  Caller Session("bookings");
  EXPECT_TRUE(
      Session.query("x", "FROBNICATE").front().starts_with("ERROR MALFORMED"));
  // Callers may not use the id of the proxy's own statements.
  EXPECT_TRUE(
      Session.query("-", "READ job").front().starts_with("ERROR MALFORMED"));
}

// The member ran both statements, and the caller got two replies.
TEST_F(SessionDaemonTest, LineFeedInDataReachesNoMember) {
  Caller Session("bookings");
  EXPECT_TRUE(
      Session.send("QUERY q1 WRITE job hobs\nQUERY q2 WRITE job none\r\n")
          .starts_with("ERROR MALFORMED the text holds a line feed"));
  EXPECT_TRUE(Session.closed());
  Caller Next("bookings");
  EXPECT_EQ(Next.query("r", "READ job").front(), "DATAROW ");
  for (const char *Id : {"q1", "q2"})
    EXPECT_EQ(this->runOnStandIns([&] { return this->Group.commitCount(Id); }),
              0U);
}

TEST_F(SessionDaemonTest, FailedPrimaryIsReplacedWithoutDuplicateWrites) {
  this->writeUntilDone("booking", "one");
  this->runOnStandIns([this] {
    this->Group.stop("m1");
    return 0;
  });
  auto Ids = this->writeUntilDone("booking", "two");
  EXPECT_GE(this->runOnStandIns([this] { return this->Store.promotions(); }),
            1U);
  for (const std::string &Id : Ids)
    EXPECT_LE(this->runOnStandIns([&] { return this->Group.commitCount(Id); }),
              1U);
  EXPECT_EQ(
      this->runOnStandIns([&] { return this->Group.commitCount(Ids.back()); }),
      1U);
  // Statements refused with BUSY must not have been executed.
  for (std::size_t Index = 0; Index + 1 < Ids.size(); ++Index) {
    bool ReportedBusy =
        this->Failures.at(this->Failures.size() - Ids.size() + 1 + Index)
            .starts_with("ERROR BUSY");
    std::size_t Runs = this->runOnStandIns(
        [&] { return this->Group.commitCount(Ids[Index]); });
    EXPECT_TRUE(!ReportedBusy || Runs == 0) << Ids[Index];
  }
  Caller Session("bookings");
  EXPECT_EQ(Session.query("r", "READ booking").front(), "DATAROW two");
}

/// A former primary that another member has superseded unseen.
class SupersededPrimaryTest : public SessionDaemonTest {
protected:
  void waitForPromotion(std::uint64_t Count = 1) {
    auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
    while (this->runOnStandIns([this] { return this->Store.promotions(); }) <
               Count &&
           std::chrono::steady_clock::now() < Deadline)
      std::this_thread::yield();
  }
  void expectNoSupersededCommit() {
    EXPECT_EQ(
        this->runOnStandIns([this] { return this->Group.supersededCommits(); }),
        0U);
  }
};

// A hand-over for backlog, whose order was taken, kept the old primary when no
// replica answered; its writes were lost (review/12).
TEST_F(SupersededPrimaryTest, HandOverWhoseOrderWasTakenDoesNotKeepIt) {
  constexpr std::size_t MoreThanSlots = 4;
  this->runOnStandIns([this] {
    this->Group.cutOffByPromotion("m2");
    this->Group.setApplyDelay("m2", milliseconds(7000));
    this->Group.setApplyDelay("m3", milliseconds(6000));
    this->Group.setBusy("m1", MoreThanSlots);
    return 0;
  });
  // Reads that no replica can serve show the backlog.
  Caller Session("fittings");
  auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
  while (this->runOnStandIns([this] { return this->Store.promotions(); }) ==
             0 &&
         std::chrono::steady_clock::now() < Deadline) {
    std::string Id = "backlog-" + std::to_string(this->NextId++);
    Session.query(Id + "w", "WRITE booking one");
    Session.query(Id + "r", "READ booking");
  }
  this->runOnStandIns([this] {
    this->Group.stop("m3");
    return 0;
  });
  this->writeUntilDone("booking", "two");
  this->expectNoSupersededCommit();
}

// An answer 409 to a later order made the promoter forget that an earlier one
// was taken, and it kept the old primary (review/11).
TEST_F(SupersededPrimaryTest, RefusedOrderDoesNotUndoAnEarlierOne) {
  this->runOnStandIns([this] {
    this->Group.cutOffByPromotion("m2");
    this->Group.setRefusesPromotion("m3", true);
    this->Group.stop("m1");
    return 0;
  });
  this->waitForPromotion();
  EXPECT_TRUE(this->runOnStandIns(
      [this] { return bool(this->Group.returnAsPrimary("m1")); }));
  this->writeUntilDone("booking", "two");
  this->expectNoSupersededCommit();
}

// A log whose end a promotion had discarded was promoted when the new primary
// was lost in turn, as it was longer than the other one (review/9).
TEST_F(SupersededPrimaryTest, DiscardedLogIsNotPromotedWhileAnotherIsKnown) {
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m3", true);
    return 0;
  });
  this->writeUntilDone("booking", "kept");
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", true);
    return 0;
  });
  this->writeUntilDone("booking", "discarded");
  this->runOnStandIns([this] {
    this->Group.stop("m1");
    return 0;
  });
  this->writeUntilDone("coat", "one");
  EXPECT_TRUE(this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m1", true);
    this->Group.stop("m2");
    return bool(this->Group.start("m1"));
  }));
  this->writeUntilDone("coat", "two");
  Caller Session("bookings");
  EXPECT_NE(Session.query("r", "READ booking").front(), "DATAROW discarded");
}

// A record that another writer had overwritten was taken for one without an
// order, and the old primary was kept.
TEST_F(SupersededPrimaryTest, UnreadableRecordMayHideAnOrder) {
  this->runOnStandIns([this] {
    this->Group.cutOffByPromotion("m2");
    this->Group.stop("m1");
    return 0;
  });
  this->waitForPromotion();
  EXPECT_TRUE(this->runOnStandIns([this] {
    this->Store.put("turmericpitch/primary/of/ledger", "[[");
    this->Group.stop("m3");
    return bool(this->Group.returnAsPrimary("m1"));
  }));
  this->writeUntilDone("booking", "two");
  this->expectNoSupersededCommit();
}

// A member that still led an older term counted as promoted before the order
// took effect (review/6).
TEST_F(SupersededPrimaryTest, OldLeaderIsNotPromotedBeforeItLeadsANewTerm) {
  constexpr std::size_t Queries = 10;
  this->runOnStandIns([this] {
    this->Group.stop("m1");
    return 0;
  });
  this->writeUntilDone("booking", "two");
  std::uint64_t Before =
      this->runOnStandIns([this] { return this->Store.promotions(); });
  this->runOnStandIns([this] {
    this->Group.setPromotionsDelayed(true);
    this->Group.stop("m2");
    this->Group.stop("m3");
    return bool(this->Group.returnAsPrimary("m1"));
  });
  this->waitForPromotion(Before + 1);
  auto Asked = [this] { return this->Group.statusCount("m1"); };
  std::size_t Enough = this->runOnStandIns(Asked) + Queries;
  auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
  while (this->runOnStandIns(Asked) < Enough &&
         std::chrono::steady_clock::now() < Deadline)
    Caller("bookings")
        .query("early-" + std::to_string(this->NextId++),
               "WRITE booking early");
  this->expectNoSupersededCommit();
  this->runOnStandIns([this] {
    this->Group.setPromotionsDelayed(false);
    return 0;
  });
  this->writeUntilDone("booking", "three");
  this->expectNoSupersededCommit();
}

// An order that one lost packet held up arrived after one with a higher token
// that the same instance had given for another service.
TEST_F(SupersededPrimaryTest, OrdersOfOneInstanceAreGivenOneAfterTheOther) {
  constexpr std::size_t Queries = 20;
  auto Requests = [this] {
    return this->runOnStandIns(
        [this] { return this->Store.promotionRequests(); });
  };
  auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
  auto WaitFor = [&](const auto &Condition) {
    while (!Condition() && std::chrono::steady_clock::now() < Deadline)
      std::this_thread::yield();
  };
  this->runOnStandIns([this] {
    for (const char *Id : {"a1", "a2"})
      EXPECT_TRUE(this->Archive.add(Id, {.Address = ownAddress(), .Port = 0}));
    for (const SessionGroupMember &Each : this->Archive.members())
      this->registerMember(Each, false, "archive");
    return 0;
  });
  WaitFor([this] {
    return this->runOnStandIns([this] {
      return !this->Store.value("turmericpitch/primary/of/archive").empty();
    });
  });
  this->runOnStandIns([this] {
    this->Store.setPromotionsHeld(true);
    this->Group.stop("m1");
    this->Archive.stop("a1");
    return 0;
  });
  WaitFor([&] { return Requests() > 0; });
  auto Asked = [this] {
    return this->runOnStandIns([this] {
      return this->Group.statusCount("m2") + this->Archive.statusCount("a2");
    });
  };
  std::size_t Enough = Asked() + Queries;
  WaitFor([&] { return Asked() >= Enough || Requests() > 1; });
  EXPECT_EQ(Requests(), 1U);
  this->runOnStandIns([this] {
    this->Store.setPromotionsHeld(false);
    return 0;
  });
  WaitFor([&] { return Requests() > 1; });
  this->writeUntilDone("booking", "two");
}

/// A service whose commits are acknowledged once one replica has received
/// them. Replica m2 lags, so they stand on m1 and m3.
class SynchronousReplicaTest : public SessionDaemonTest {
protected:
  SynchronousReplicaTest() {
    // The new route shows that the configuration is in force.
    std::string Text = configuration(3, "", 1);
    Text.replace(Text.find("fittings"), 8, "repairs");
    this->runOnStandIns([&] {
      this->Store.put("op/config", Text);
      this->Group.setReplicationPaused("m2", true);
      return 0;
    });
    while (Caller("repairs").StartupReply != "READY I -")
      std::this_thread::yield();
    // A sample of the primary covers what departed before the daemon started.
    this->awaitListing();
    this->writeUntilDone("booking", "kept");
  }

  template <typename Callable>
  void waitFor(Callable Value, const decltype(Value()) &Without) {
    auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
    while (this->runOnStandIns(Value) == Without &&
           std::chrono::steady_clock::now() < Deadline)
      std::this_thread::yield();
  }
  void drain(const std::string &Id) {
    this->runOnStandIns([&] {
      for (const SessionGroupMember &Each : this->Group.members())
        if (Each.Id == Id)
          this->registerMember(Each, true);
      return 0;
    });
    this->awaitListing();
  }
  /// Waits until the daemon has listed the members.
  void awaitListing() {
    auto Listings = [] {
      return processMetrics().counterValue("store_listings_total", "members");
    };
    // The first of two further listings may have begun before.
    auto Before = Listings();
    this->waitFor([&] { return Listings() >= Before + 2; }, false);
  }
  /// Waits until a promotion was ordered or Enough is true.
  template <typename Callable> void waitForPromotionOr(Callable Enough) {
    this->waitFor([&] { return this->Store.promotions() > 0 || Enough(); },
                  false);
  }
  void expectServedWithCommit() {
    this->runOnStandIns([this] {
      this->Group.setReplicationPaused("m2", false);
      return 0;
    });
    this->writeUntilDone("other", "two");
    Caller Session("bookings");
    EXPECT_EQ(Session.query("r", "READ booking").front(), "DATAROW kept");
  }
};

// A draining replica with all acknowledged commits wasn't asked, and another
// one without them was promoted.
TEST_F(SynchronousReplicaTest, DrainingReplicaWithTheCommitSucceeds) {
  this->drain("m3");
  this->runOnStandIns([this] {
    this->Group.stop("m1");
    return 0;
  });
  this->waitForPromotionOr([] { return false; });
  EXPECT_TRUE(this->runOnStandIns([this] {
    for (const SessionGroupMember &Each : this->Group.members())
      if (Each.Primary)
        return this->Group.holds(Each.Id, "kept");
    return false;
  }));
  this->expectServedWithCommit();
}

// A replica that didn't reply within a second was passed over.
TEST_F(SynchronousReplicaTest, PromotionWaitsForAReplicaThatIsSlowToReply) {
  // Each query to a member that holds its replies takes 400 ms.
  constexpr std::size_t HeldQueries = 5;
  this->runOnStandIns([this] {
    this->Group.setSetupHeld("m3", true);
    this->Group.stop("m1");
    return 0;
  });
  std::size_t Before =
      this->runOnStandIns([this] { return this->Group.statusCount("m3"); });
  this->waitForPromotionOr(
      [&] { return this->Group.statusCount("m3") >= Before + HeldQueries; });
  EXPECT_EQ(this->runOnStandIns([this] { return this->Store.promotions(); }),
            0U);
  this->runOnStandIns([this] {
    this->Group.setSetupHeld("m3", false);
    return 0;
  });
  this->expectServedWithCommit();
}

// A planned hand-over promoted the replica that stays, without the commit.
TEST_F(SynchronousReplicaTest, HandOverWaitsForAReplicaThatStays) {
  // The lagging replica is asked every 40 ms.
  constexpr std::size_t Queries = 100;
  this->drain("m3");
  this->drain("m1");
  this->waitForPromotionOr(
      [this] { return this->Group.statusCount("m2") >= Queries; });
  EXPECT_EQ(this->runOnStandIns([this] { return this->Store.promotions(); }),
            0U);
  this->expectServedWithCommit();
}

// A replica whose entry had ended, but which ran, went on confirming commits
// and wasn't asked, so another one was promoted without them (review/8).
TEST_F(SynchronousReplicaTest, UnlistedReplicaWithTheCommitIsWaitedFor) {
  constexpr std::size_t Queries = 5;
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", false);
    this->Store.erase("servers/m3");
    return 0;
  });
  this->awaitListing();
  // Both replicas receive what the primary reports after the entry has ended.
  this->writeUntilDone("booking", "kept");
  this->writeUntilDone("booking", "kept");
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", true);
    return 0;
  });
  this->writeUntilDone("coat", "later");
  std::size_t Before = this->runOnStandIns([this] {
    this->Group.stop("m1");
    return this->Group.statusCount("m3");
  });
  this->waitForPromotionOr(
      [&] { return this->Group.statusCount("m3") >= Before + Queries; });
  EXPECT_EQ(this->runOnStandIns([this] { return this->Store.promotions(); }),
            0U);
  this->runOnStandIns([this] {
    for (const SessionGroupMember &Each : this->Group.members())
      if (Each.Id == "m3")
        this->registerMember(Each);
    return 0;
  });
  this->expectServedWithCommit();
  Caller Session("bookings");
  EXPECT_EQ(Session.query("r", "READ coat").front(), "DATAROW later");
}

// While a search waited for a replica, its entry ended, and for a moment it was
// neither registered nor departed (issue 57).
TEST_F(SynchronousReplicaTest, ReplicaThatLeavesTheListIsStillWaitedFor) {
  constexpr std::size_t Queries = 5;
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", false);
    return 0;
  });
  this->writeUntilDone("booking", "kept");
  this->awaitListing();
  this->writeUntilDone("booking", "kept");
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", true);
    return 0;
  });
  this->writeUntilDone("coat", "later");
  std::size_t Before = this->runOnStandIns([this] {
    this->Group.setSetupHeld("m3", true);
    this->Group.stop("m1");
    return this->Group.statusCount("m2");
  });
  this->waitForPromotionOr(
      [&] { return this->Group.statusCount("m2") >= Before + Queries; });
  this->runOnStandIns([this] {
    this->Store.erase("servers/m3");
    return 0;
  });
  this->awaitListing();
  Before =
      this->runOnStandIns([this] { return this->Group.statusCount("m2"); });
  this->waitForPromotionOr(
      [&] { return this->Group.statusCount("m2") >= Before + Queries; });
  EXPECT_EQ(this->runOnStandIns([this] { return this->Store.promotions(); }),
            0U);
  this->runOnStandIns([this] {
    this->Group.setSetupHeld("m3", false);
    for (const SessionGroupMember &Each : this->Group.members())
      if (Each.Id == "m3")
        this->registerMember(Each);
    return 0;
  });
  this->expectServedWithCommit();
  Caller Session("bookings");
  EXPECT_EQ(Session.query("r", "READ coat").front(), "DATAROW later");
}

// A replica that had started again with an empty log, and whose entry was still
// that of its earlier process, counted as a complete report (review/7).
TEST_F(SynchronousReplicaTest, ReplicaThatStartedAgainIsNoCompleteReport) {
  constexpr std::size_t Queries = 5;
  // Its entry isn't renewed during the test.
  this->killDaemon();
  this->MemberHeartbeat = std::chrono::seconds(60);
  this->startDaemon();
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", false);
    return 0;
  });
  // Both replicas receive what the primary reports after the last departure.
  this->writeUntilDone("booking", "kept");
  this->awaitListing();
  this->writeUntilDone("booking", "kept");
  this->writeUntilDone("booking", "kept");
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", true);
    return 0;
  });
  this->writeUntilDone("coat", "later");
  std::size_t Before = this->runOnStandIns([this] {
    this->Group.stop("m1");
    this->Group.restartEmpty("m3");
    return this->Group.statusCount("m3");
  });
  this->waitForPromotionOr(
      [&] { return this->Group.statusCount("m3") >= Before + Queries; });
  EXPECT_EQ(this->runOnStandIns([this] { return this->Store.promotions(); }),
            0U);
  // The former primary comes back with its log.
  EXPECT_TRUE(this->runOnStandIns([this] { return this->Group.start("m1"); }));
  this->expectServedWithCommit();
  Caller Session("bookings");
  EXPECT_EQ(Session.query("r", "READ coat").front(), "DATAROW later");
}

// A replica that lost its log between its report and the order was promoted.
TEST_F(SynchronousReplicaTest, ReplicaThatEndsBeforeTheOrderIsNotPromoted) {
  this->runOnStandIns([this] {
    this->Group.setReplicationPaused("m2", false);
    return 0;
  });
  this->writeUntilDone("booking", "kept");
  this->awaitListing();
  auto Target = std::make_shared<std::string>();
  this->runOnStandIns([this, Target] {
    this->Store.onWrite([this, Target](const std::string &Value) {
      for (const char *Id : {"m2", "m3"})
        if (Target->empty() && Value.find(R"("target":")" + std::string(Id)) !=
                                   std::string::npos) {
          *Target = Id;
          this->Group.restartEmpty(Id);
        }
    });
    this->Group.stop("m1");
    return 0;
  });
  this->writeUntilDone("other", "two");
  EXPECT_FALSE(Target->empty());
  Caller Session("bookings");
  EXPECT_EQ(Session.query("r", "READ booking").front(), "DATAROW kept");
}

TEST_F(SessionDaemonTest, SingleInstanceServesWithoutTheStore) {
  this->runOnStandIns([this] {
    this->Store.setUnavailable(true);
    return 0;
  });
  // Waiting for the lease to expire would depend on timing. The service only
  // has to keep serving.
  Caller Session("bookings");
  for (int Index = 0; Index < 50; ++Index)
    EXPECT_TRUE(Session.query("w" + std::to_string(Index), "WRITE job x")
                    .front()
                    .starts_with("COMPLETE signed"));
}

// A restarted instance can read a configuration whose revision is older than
// the store's compacted history. Each watch from that revision fails, so the
// instance must watch from the store's current revision instead.
TEST_F(SessionDaemonTest, CompactedHistoryCostsOneMoreRead) {
  auto Before = this->runOnStandIns([this] {
    for (int Index = 0; Index < 100; ++Index)
      this->Store.put("other/" + std::to_string(Index), "x");
    this->Store.compactHistory();
    return this->Store.keyReads();
  });
  // Each round of writes takes several watch calls.
  for (int Round = 0; Round < 3; ++Round)
    this->writeUntilDone("round", std::to_string(Round));
  std::string Changed = configuration(9);
  this->runOnStandIns([&] {
    this->Store.put("op/config", Changed);
    return 0;
  });
  Changed.replace(Changed.find("fittings"), 8, "repairs!");
  Changed.replace(Changed.find("9"), 1, "10");
  this->runOnStandIns([&] {
    this->Store.put("op/config", Changed);
    return 0;
  });
  bool Served = false;
  auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
  while (!Served && std::chrono::steady_clock::now() < Deadline)
    Served = Caller("repairs!").StartupReply == "READY I -";
  EXPECT_TRUE(Served);
  EXPECT_LE(this->runOnStandIns([this] { return this->Store.keyReads(); }),
            Before + 4);
}

/// The store comes back from a copy that lacks the last change of primary and
/// the newest configuration.
TEST_F(SessionDaemonTest, ServesOnAfterTheStoreWasRestored) {
  this->runOnStandIns([this] {
    this->Store.put("op/config", configuration(4));
    return 0;
  });
  this->writeUntilDone("booking", "one");
  auto HasGrantors = [this] {
    return this->Store.value("turmericpitch/primary/grantors")
               .find("front-1") != std::string::npos;
  };
  auto GrantorsDeadline = std::chrono::steady_clock::now() + TestTimeout;
  while (!this->runOnStandIns(HasGrantors) &&
         std::chrono::steady_clock::now() < GrantorsDeadline)
    std::this_thread::yield();
  this->runOnStandIns([this] {
    this->Store.takeCopy();
    this->Group.stop("m1");
    return 0;
  });
  this->writeUntilDone("booking", "two");
  auto Ordered =
      this->runOnStandIns([this] { return this->Store.promotions(); });
  ASSERT_GE(Ordered, 1U);
  this->runOnStandIns([this] {
    this->Store.restore();
    return 0;
  });
  // The copy names the former primary, which is down: a promotion of the new
  // one again would be an order too many.
  auto Ids = this->writeUntilDone("booking", "three");
  Caller Session("bookings");
  EXPECT_EQ(Session.query("r", "READ booking").front(), "DATAROW three");
  EXPECT_EQ(
      this->runOnStandIns([&] { return this->Group.commitCount(Ids.back()); }),
      1U);
  EXPECT_EQ(this->runOnStandIns([this] { return this->Store.promotions(); }),
            Ordered);
  // A configuration that is older than the one in force is not applied, and a
  // newer one is, although its revision was given out before.
  std::string Changed = configuration(9);
  Changed.replace(Changed.find("fittings"), 8, "repairs!");
  this->runOnStandIns([&] {
    this->Store.put("op/config", Changed);
    return 0;
  });
  bool Served = false;
  auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
  while (!Served && std::chrono::steady_clock::now() < Deadline)
    Served = Caller("repairs!").StartupReply == "READY I -";
  EXPECT_TRUE(Served);
}

TEST_F(SessionDaemonTest, NewRouteIsServedAndRemovedOneRefused) {
  std::string Changed = configuration(5);
  Changed.replace(Changed.find("fittings"), 8, "repairs!");
  this->runOnStandIns([&] {
    this->Store.put("op/config", Changed);
    return 0;
  });
  bool Served = false;
  auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
  while (!Served && std::chrono::steady_clock::now() < Deadline)
    Served = Caller("repairs!").StartupReply == "READY I -";
  EXPECT_TRUE(Served);
  EXPECT_TRUE(Caller("fittings").StartupReply.starts_with("ERROR NODB"));
  // An older version must not replace a newer one.
  this->runOnStandIns([&] {
    this->Store.put("op/config", configuration(3));
    return 0;
  });
  for (int Attempt = 0; Attempt < 50; ++Attempt)
    EXPECT_EQ(Caller("repairs!").StartupReply, "READY I -");
}

class SessionAccountsTest : public SessionDaemonTest {
protected:
  static constexpr const char *TwoKeys =
      R"([{"name":"desk","api_keys":["key-1","key-2"]}])";
  static constexpr const char *FirstWithdrawn =
      R"([{"name":"desk","api_keys":["key-2"]}])";

  void configure(const std::string &Value) {
    this->runOnStandIns([&] {
      this->Store.put("op/config", Value);
      return 0;
    });
  }
  /// Opens sessions with Credential until one is answered with Reply.
  void waitForStartup(const std::string &Credential, const std::string &Reply) {
    auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
    while (std::chrono::steady_clock::now() < Deadline) {
      try {
        if (Caller("bookings", Credential).StartupReply.starts_with(Reply))
          return;
      } catch (const boost::system::system_error &) {
        // Not listening yet.
      }
      std::this_thread::yield();
    }
    ADD_FAILURE() << "no startup was answered with " << Reply;
  }
};

TEST_F(SessionAccountsTest, KeyIsWithdrawnFromLiveSessions) {
  this->configure(configuration(5, TwoKeys));
  this->waitForStartup("stranger", "ERROR UNAUTH");
  Caller Idle("bookings", "key-1");
  Caller InTransaction("bookings", "key-1");
  Caller Kept("bookings", "key-2");
  ASSERT_EQ(Idle.StartupReply, "READY I -");
  InTransaction.query("b", "BEGIN");
  InTransaction.query("w", "WRITE job six");
  this->configure(configuration(6, FirstWithdrawn));
  EXPECT_TRUE(Idle.closed());
  EXPECT_TRUE(
      InTransaction.query("c", "COMMIT").front().starts_with("ERROR ABORTED"));
  EXPECT_TRUE(InTransaction.closed());
  EXPECT_EQ(Kept.query("r", "READ job").front(), "DATAROW ");
  EXPECT_EQ(this->runOnStandIns([&] { return this->Group.commitCount("w"); }),
            0U);
}

TEST_F(SessionAccountsTest, RestartedInstanceRefusesAWithdrawnKey) {
  this->configure(configuration(5, TwoKeys));
  this->waitForStartup("stranger", "ERROR UNAUTH");
  EXPECT_EQ(Caller("bookings", "key-1").StartupReply, "READY I -");
  this->killDaemon();
  this->configure(configuration(6, FirstWithdrawn));
  // While the store is away, the new process knows no key and serves nobody.
  this->runOnStandIns([this] {
    this->Store.setUnavailable(true);
    return 0;
  });
  this->startDaemon();
  this->waitForStartup("key-1", "ERROR BUSY");
  EXPECT_TRUE(
      Caller("bookings", "key-2").StartupReply.starts_with("ERROR BUSY"));
  this->runOnStandIns([this] {
    this->Store.setUnavailable(false);
    return 0;
  });
  this->waitForStartup("key-2", "READY I -");
  EXPECT_TRUE(
      Caller("bookings", "key-1").StartupReply.starts_with("ERROR UNAUTH"));
}

TEST_F(SessionDaemonTest, MetricsShowTheTablesThatOthersCanMakeGrow) {
  Caller Session("bookings");
  Session.query("p", "PREPARE s READ " + std::string(1000, 's'));
  asio::io_context Loop;
  asio::ip::tcp::socket Scraper(Loop);
  Scraper.connect({asio::ip::make_address(ownAddress()), ReadyPort});
  asio::write(Scraper, asio::buffer(std::string(
                           "GET /metrics HTTP/1.1\r\nHost: daemon\r\n"
                           "Connection: close\r\n\r\n")));
  std::string Page;
  boost::system::error_code Ended;
  asio::read(Scraper, asio::dynamic_buffer(Page), Ended);
  auto Gauge = [&](const std::string &Series) {
    std::size_t At = Page.find("turmericpitch_" + Series + " ");
    EXPECT_NE(At, std::string::npos) << Series << " in\n" << Page;
    return At == std::string::npos
               ? 0
               : std::stoul(Page.substr(Page.find(' ', At) + 1));
  };
  EXPECT_GE(Gauge(R"(session_memory_bytes{kind="state"})"), 1000U);
  EXPECT_EQ(Gauge(R"(session_memory_shared_bytes{kind="in_use"})"), 0U);
  EXPECT_GE(Gauge(R"(session_memory_shared_bytes{kind="limit"})"), 1'000'000U);
  EXPECT_GE(Gauge(R"(table_entries{kind="sessions"})"), 1U);
  EXPECT_EQ(Gauge(R"(table_entries{kind="routes"})"), 2U);
  for (const char *Kind : {"sessions_limit", "member_links", "instances",
                           "known_peers", "limit_senders", "accounts"})
    Gauge("table_entries{kind=\"" + std::string(Kind) + "\"}");
}

// Statements that ran when the grace period ended were cut off without an
// answer, and new ones were taken until then.
TEST_F(SessionDaemonTest, AStopAnswersWhatRunsAndTakesNothingItCantFinish) {
  this->killDaemon();
  // Nothing that arrives after the request can be finished in time.
  this->StopGracePeriod = std::chrono::milliseconds(500);
  this->startDaemon();
  this->writeUntilDone("again", "1");
  Caller Running("bookings");
  Caller Waiting("bookings");
  this->runOnStandIns([this] {
    this->Group.holdStatements(true);
    return 0;
  });
  Running.sendQuery("w1", "WRITE hat 58cm");
  while (this->runOnStandIns([this] { return this->Group.heldStatements(); }) ==
         0) {
  }
  kill(getpid(), SIGTERM);
  // Readiness is given up with the request to stop.
  while (Caller("bookings").StartupReply.starts_with("READY")) {
  }
  EXPECT_EQ(Waiting.query("w2", "WRITE coat 40cm").front(),
            "ERROR BUSY this instance is stopping; not run, connect to another "
            "one");
  EXPECT_TRUE(Running.nextLine().starts_with("ERROR "));
  EXPECT_TRUE(Running.nextLine().starts_with("READY "));
  this->DaemonThread.join();
  this->DaemonThread = std::thread([] {});
  EXPECT_FALSE(
      this->runOnStandIns([this] { return this->Group.holds("m1", "40cm"); }));
}

// A process read its settings at its start alone, and one whose settings had
// become unreadable by its next start would end there (review/14).
TEST_F(SessionDaemonTest, SettingsAreReadAgainWhileTheProcessServes) {
  this->killDaemon();
  std::atomic<bool> Readable = true;
  this->ReadSettings = [&]() -> Outcome<InstanceSettings> {
    if (!Readable)
      return Error{.Kind = ErrorKind::BadRequest,
                   .Message = "half written",
                   .Remedy = "write it whole"};
    InstanceSettings Next = this->settings();
    // Nothing that arrives after a request to stop can be finished in time.
    Next.StopGracePeriod = milliseconds(500);
    return Next;
  };
  this->startDaemon();
  this->writeUntilDone("again", "1");
  auto SignalAndWait = [](const std::string &Outcome) {
    auto Count = [&] {
      return processMetrics().counterValue("settings_reloads_total", Outcome);
    };
    auto Before = Count();
    kill(getpid(), SIGHUP);
    auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
    while (Count() == Before && std::chrono::steady_clock::now() < Deadline)
      std::this_thread::yield();
    EXPECT_EQ(Count(), Before + 1);
  };
  SignalAndWait("taken");
  Readable = false;
  SignalAndWait("refused");
  this->writeUntilDone("again", "2");
  Caller Running("bookings");
  Caller Waiting("bookings");
  this->runOnStandIns([this] {
    this->Group.holdStatements(true);
    return 0;
  });
  Running.sendQuery("w1", "WRITE hat 58cm");
  while (this->runOnStandIns([this] { return this->Group.heldStatements(); }) ==
         0) {
  }
  kill(getpid(), SIGTERM);
  while (Caller("bookings").StartupReply.starts_with("READY")) {
  }
  EXPECT_TRUE(
      Waiting.query("w2", "WRITE coat 40cm").front().starts_with("ERROR BUSY"));
  this->DaemonThread.join();
  this->DaemonThread = std::thread([] {});
}

} // namespace
} // namespace turmericpitch
