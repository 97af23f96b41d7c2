// Statements through the dispatcher and real connections, with a stand-in for
// the database members on loopback.
#include "drivers/StatementDispatcher.h"
#include "core/DecisionLog.h"
#include "tests/platform/SessionGroup.h"
#include "tests/support/OwnAddress.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const ServiceId Service{"ledger"};

class StatementDispatcherTest : public testing::Test {
protected:
  StatementDispatcherTest()
      : Group(this->Loop.get_executor(), Service.Value),
        Dispatcher(
            this->Loop.get_executor(), {.Self = {"front-1"}, .Zone = {"a"}},
            [this](const ServiceId &) { return this->lease(); },
            [](const ServiceId &) { return std::optional<Duration>(); }) {
    sendLogTo("");
    for (const char *Id : {"m1", "m2"})
      EXPECT_TRUE(this->Group.add(Id, {.Address = ownAddress(), .Port = 0}));
    RouteTable Table;
    Table.Version = 1;
    Table.Routes["bookings"] = this->route();
    Table.Services[Service] = {.MaximumConnections = 20};
    this->Routes.replaceIfNewer(std::move(Table));
    RegistryChange Change;
    for (const SessionGroupMember &Each : this->Group.members())
      Change.Added.push_back(
          {.Id = {Each.Id},
           .Service = Service,
           .Where = Each.Where,
           .Zone = {"a"},
           .Slots = 4,
           .Role = Each.Primary ? MemberRole::Primary : MemberRole::Replica});
    this->Dispatcher.onRegistry(Change, this->Routes, 1);
  }

  static RouteRule route() {
    return {.Name = "r1",
            .Database = "bookings",
            .Service = Service,
            .Level = Consistency::Strong,
            .StatementTimeout = std::chrono::seconds(30),
            .LatencyGoal = milliseconds(200)};
  }

  std::optional<PrimaryLease> lease() {
    if (this->LeaseLookups-- == 0)
      this->Current = this->Next;
    return this->Current;
  }

  /// Runs one statement to its end.
  StatementReply run(const std::string &Text) {
    auto Call = std::make_shared<StatementCall>(this->Loop.get_executor());
    Call->Session = std::make_shared<SessionContext>();
    Call->Session->Route = route();
    Call->Request = std::get<Statement>(decodeCallerLine("QUERY s1 " + Text));
    TimePoint Now = BootClock().now();
    Call->Terms = {.ArrivedAt = Now,
                   .Goal = Now + milliseconds(200),
                   .Deadline = Now + std::chrono::seconds(30)};
    std::optional<StatementReply> Reply;
    Call->OnReply = [&](StatementReply Ended) { Reply = std::move(Ended); };
    this->Dispatcher.submit(Call);
    while (!Reply)
      this->Loop.run_one();
    return *Reply;
  }

  static PrimaryLease leaseOn(std::uint64_t Epoch, const std::string &Primary) {
    return {.Epoch = Epoch,
            .Primary = {Primary},
            .ExpiresAt = BootClock().now() + std::chrono::seconds(60)};
  }

  boost::asio::io_context Loop;
  SessionGroup Group;
  RouteController Routes;
  std::optional<PrimaryLease> Current = leaseOn(1, "m1");
  /// The lease after LeaseLookups further lookups.
  std::optional<PrimaryLease> Next;
  int LeaseLookups = -1;
  StatementDispatcher Dispatcher;
};

/// A read that is held up on its way runs at the former primary, and its answer
/// must not be delivered. Seen in the load test "sabedge large scale-2": the
/// instance's own link was congested.
TEST_F(StatementDispatcherTest, ReadThatOutlivesItsLeaseRunsAgain) {
  ASSERT_FALSE(this->run("WRITE job old").Failure);
  this->Group.setReplicationPaused("m2", true);
  // The lease is on m2 from some lookup on: before the read is sent, or while
  // it runs at m1. It is never answered by m1 after that.
  for (int Lookups = 1; Lookups < 6; ++Lookups) {
    this->Current = leaseOn(1, "m1");
    this->Next = leaseOn(2, "m2");
    this->LeaseLookups = Lookups;
    StatementReply Reply = this->run("READ job");
    ASSERT_FALSE(Reply.Failure) << Reply.Failure->Text;
    bool FromFormer = Reply.Signature.find("m1") != std::string::npos;
    // Lookups that are left over were not reached before the answer.
    EXPECT_EQ(FromFormer, this->LeaseLookups >= 0) << Lookups;
  }
}

TEST_F(StatementDispatcherTest, TransactionBeginsOnlyUnderALease) {
  for (int Lookups = 1; Lookups < 8; ++Lookups) {
    this->Current = leaseOn(1, "m1");
    this->Next = leaseOn(2, "m2");
    this->LeaseLookups = Lookups;
    StatementReply Reply = this->run("WRITE job new");
    // A write is acknowledged only by a primary whose lease is still valid.
    bool FromFormer =
        !Reply.Failure && Reply.Signature.find("m1") != std::string::npos;
    EXPECT_TRUE(!FromFormer || this->LeaseLookups >= 0) << Lookups;
  }
}

} // namespace
} // namespace turmericpitch
