// Reads at a second member: hedged while the first one holds the read, or
// repeated after it has failed.
#include "core/DecisionLog.h"
#include "drivers/StatementDispatcher.h"
#include "tests/platform/SessionGroup.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

const ServiceId Service{"ledger"};

/// Longer than the pause after a refusal for lack of capacity, so that the next
/// attempt begins before the timer of the refused one expires.
constexpr Duration HedgeDelay = milliseconds(60);

std::string ownAddress() {
  auto Id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (Id >> 16U) % 254) + "." +
         std::to_string((Id >> 8U) % 256) + "." + std::to_string(1 + Id % 254);
}

/// A primary m1 and the replicas m2 and m3. A read is hedged soon after it was
/// sent, and goes to m1 first: the replicas hold no position that is recent
/// enough until one was sampled.
class StatementHedgeTest : public testing::Test {
protected:
  StatementHedgeTest()
      : Group(this->Loop.get_executor(), Service.Value),
        Dispatcher(
            this->Loop.get_executor(),
            {.Self = {"front-1"},
             .Zone = {"a"},
             .Hedge = {.Factor = 0, .MinDelay = HedgeDelay}},
            [this](const ServiceId &) { return this->Lease; },
            [](const ServiceId &) { return std::optional<Duration>(); }) {
    sendLogTo("");
    RegistryChange Change;
    for (const char *Id : {"m1", "m2", "m3"})
      EXPECT_TRUE(this->Group.add(Id, {.Address = ownAddress(), .Port = 0}));
    RouteTable Table;
    Table.Version = 1;
    Table.Routes["bookings"] = route();
    Table.Services[Service] = {.MaximumConnections = 20};
    this->Routes.replaceIfNewer(std::move(Table));
    for (const SessionGroupMember &Each : this->Group.members())
      Change.Added.push_back(
          {.Id = {Each.Id},
           .Service = Service,
           .Where = Each.Where,
           .Zone = {"a"},
           .Slots = 4,
           .Role = Each.Primary ? MemberRole::Primary : MemberRole::Replica});
    this->Dispatcher.onRegistry(Change, this->Routes, 1);
    // Gives the primary's position to the dispatcher.
    EXPECT_FALSE(this->run("WRITE job old").Failure);
  }

  static RouteRule route() {
    return {.Name = "r1",
            .Database = "bookings",
            .Service = Service,
            .Level = Consistency::BoundedStaleness,
            .StatementTimeout = std::chrono::seconds(30),
            .LatencyGoal = milliseconds(200),
            .MaximumAge = std::chrono::seconds(30)};
  }

  /// Starts one statement. Its reply is in Reply once it has ended.
  SharedCall start(const std::string &Text,
                   Duration Timeout = std::chrono::seconds(30)) {
    this->Reply.reset();
    this->Replies = 0;
    auto Call = std::make_shared<StatementCall>(this->Loop.get_executor());
    Call->Session = std::make_shared<SessionContext>();
    Call->Session->Route = route();
    Call->Request = std::get<Statement>(decodeCallerLine("QUERY s1 " + Text));
    TimePoint Now = BootClock().now();
    Call->Terms = {.ArrivedAt = Now,
                   .Goal = Now + milliseconds(200),
                   .Deadline = Now + Timeout};
    Call->OnReply = [&](StatementReply Ended) {
      this->Reply = std::move(Ended);
      ++this->Replies;
    };
    this->Dispatcher.submit(Call);
    return Call;
  }

  template <typename Condition> void runUntil(Condition &&Holds) {
    while (!Holds())
      this->Loop.run_one();
  }

  const StatementReply &finish() {
    this->runUntil([&] { return this->Reply.has_value(); });
    return *this->Reply;
  }

  const StatementReply &finishAfter(const std::string &Text) {
    this->start(Text);
    return this->finish();
  }

  StatementReply run(const std::string &Text) {
    return this->finishAfter(Text);
  }

  /// Starts a read whose first member holds it, and returns that member.
  std::string startHeldRead(Duration Timeout = std::chrono::seconds(30)) {
    for (const char *Id : {"m1", "m2", "m3"})
      this->Group.setRepliesHeld(Id, true);
    std::size_t Before = this->received();
    this->Call = this->start("READ job", Timeout);
    this->runUntil([&] { return this->received() > Before; });
    for (const char *Id : {"m1", "m2", "m3"})
      if (this->Group.heldCount(Id) > 0)
        return Id;
    return "none";
  }

  [[nodiscard]] std::size_t received() const {
    std::size_t Sum = 0;
    for (const char *Id : {"m1", "m2", "m3"})
      Sum += this->Group.statementCount(Id);
    return Sum;
  }

  void forOthers(const std::string &First,
                 const std::function<void(const std::string &)> &Do) {
    for (const char *Id : {"m1", "m2", "m3"})
      if (Id != First)
        Do(Id);
  }

  /// Makes the other members refuse reads, and sends the replies that they
  /// have kept back.
  void refuseAtOthers(const std::string &First, const std::string &Code) {
    this->forOthers(First, [&](const std::string &Id) {
      this->Group.setRefusal(Id, Code);
      this->Group.setRepliesHeld(Id, false);
    });
  }

  boost::asio::io_context Loop;
  SessionGroup Group;
  RouteController Routes;
  std::optional<PrimaryLease> Lease =
      PrimaryLease{.Epoch = 1,
                   .Primary = {"m1"},
                   .ExpiresAt = BootClock().now() + std::chrono::hours(1)};
  StatementDispatcher Dispatcher;
  SharedCall Call;
  std::optional<StatementReply> Reply;
  int Replies = 0;
};

TEST_F(StatementHedgeTest, LateReplyOfTheFirstMemberIsDelivered) {
  std::string First = this->startHeldRead();
  std::size_t Before = this->received();
  this->runUntil([&] { return this->received() > Before; });
  this->Group.setRepliesHeld(First, false);
  ASSERT_FALSE(this->finish().Failure) << this->Reply->Failure->Text;
  EXPECT_EQ(this->Reply->Signature, "signed-by-" + First);
  // The other member answers too; the client has its reply already.
  this->forOthers("", [&](const std::string &Id) {
    this->Group.setRepliesHeld(Id, false);
  });
  this->Loop.poll();
  EXPECT_FALSE(this->run("READ job").Failure);
  EXPECT_EQ(this->Replies, 1);
}

// The log position of one service counted for the other one once the session
// had gone on to its route.
TEST_F(StatementHedgeTest, LateReplyCountsForTheServiceThatItCameFrom) {
  const ServiceId Next{"archive"};
  RegistryChange Gone;
  Gone.Removed.push_back(
      this->Dispatcher.services().at(Service).Pools.at({"m3"})->member());
  this->Dispatcher.onRegistry(Gone, this->Routes, 1);
  this->startHeldRead();
  this->runUntil([&] {
    return this->Group.heldCount("m1") > 0 && this->Group.heldCount("m2") > 0;
  });
  this->Group.setRepliesHeld("m2", false);
  ASSERT_FALSE(this->finish().Failure);
  this->Call->Session->Route.Service = Next;
  this->Group.setRepliesHeld("m1", false);
  this->runUntil([&] {
    auto Links = this->Dispatcher.links();
    return Links.Open == Links.Idle;
  });
  auto State = this->Dispatcher.services().find(Next);
  EXPECT_TRUE(State == this->Dispatcher.services().end() ||
              !State->second.Freshness.newest());
}

/// Seen in the load test "sabedge large quiet-1": two lagging replicas turned a
/// read away that the primary held, and the client was told "not run".
TEST_F(StatementHedgeTest, RefusalsOfOtherMembersAreNoRefusal) {
  for (const char *Code : {"LAGGING", "BUSY", "FAILED"}) {
    this->forOthers("", [&](const std::string &Id) {
      this->Group.setRefusal(Id, "");
      this->Group.setRepliesHeld(Id, false);
    });
    this->Loop.poll();
    std::string First = this->startHeldRead();
    this->refuseAtOthers(First, Code);
    // The other members refuse it until its attempts or its wait for a usable
    // member run out.
    this->Loop.run_for(2 * OutageWaitOptions().MaxWaitIfUnknown);
    EXPECT_FALSE(this->Reply) << Code << ": " << this->Reply->Failure->Text;
    this->Group.setRepliesHeld(First, false);
    EXPECT_FALSE(this->finish().Failure) << Code;
    EXPECT_EQ(this->Reply->Signature, "signed-by-" + First);
  }
}

TEST_F(StatementHedgeTest, LostLinkOfTheFirstMemberRunsTheReadElsewhere) {
  std::string First = this->startHeldRead();
  this->refuseAtOthers(First, "LAGGING");
  this->Group.dropHeldReplies(First);
  this->Group.setRepliesHeld(First, false);
  this->forOthers(
      First, [&](const std::string &Id) { this->Group.setRefusal(Id, ""); });
  EXPECT_FALSE(this->finish().Failure) << this->Reply->Failure->Text;
}

TEST_F(StatementHedgeTest, AReadThatMayHaveRunIsNotRefusedAsNotRun) {
  std::string First = this->startHeldRead();
  this->refuseAtOthers(First, "LAGGING");
  this->Group.dropHeldReplies(First);
  this->Group.setRefusal(First, "BUSY");
  const StatementReply &Ended = this->finish();
  ASSERT_TRUE(Ended.Failure);
  EXPECT_FALSE(provesNotCommitted(Ended.Failure->Code)) << Ended.Failure->Text;
}

TEST_F(StatementHedgeTest, DeadlineWithAnAttemptOutIsNoRefusal) {
  std::string First = this->startHeldRead(milliseconds(700));
  this->refuseAtOthers(First, "LAGGING");
  const StatementReply &Ended = this->finish();
  ASSERT_TRUE(Ended.Failure);
  EXPECT_EQ(Ended.Failure->Code, ReplyError::TimedOut) << Ended.Failure->Text;
}

/// Seen in the load test "shd-bern-grown trouble-1": the hedge timer of a
/// refused attempt took the link away from a later attempt that set it up.
TEST_F(StatementHedgeTest, LaterAttemptMaySetTheSameLinkUp) {
  RegistryChange Gone;
  for (const auto &[Id, Pool] : this->Dispatcher.services().at(Service).Pools)
    if (Id.Value != "m1")
      Gone.Removed.push_back(Pool->member());
  this->Dispatcher.onRegistry(Gone, this->Routes, 1);
  this->Group.setRefusal("m1", "BUSY");
  std::size_t Before = this->received();
  this->Call = this->start("READ job");
  this->runUntil([&] { return this->received() > Before; });
  // The next attempt on the link has a setup step, and no reply to it arrives
  // while the hedge timer expires.
  this->Call->Session->State.answerLocally(
      std::get<Statement>(decodeCallerLine("QUERY s2 SET name value")));
  this->Group.setSetupHeld("m1", true);
  this->runUntil([&] { return this->Group.heldCount("m1") > 0; });
  this->Loop.run_for(2 * HedgeDelay);
  this->Group.setSetupHeld("m1", false);
  this->Group.setRefusal("m1", "");
  this->Group.setRepliesHeld("m1", false);
  EXPECT_FALSE(this->finish().Failure) << this->Reply->Failure->Text;
}

/// Seen in the load test "horas-lima-grown trouble-1": one member failed some
/// of its reads, and clients whose retries reached it again were not served.
TEST_F(StatementHedgeTest, ReadThatOneMemberFailsRunsAtAnother) {
  std::string First = this->startHeldRead();
  for (const char *Id : {"m1", "m2", "m3"})
    this->Group.setRepliesHeld(Id, false);
  ASSERT_FALSE(this->finish().Failure);
  this->Group.setRefusal(First, "FAILED");
  EXPECT_FALSE(this->run("READ job").Failure) << this->Reply->Failure->Text;
  EXPECT_NE(this->Reply->Signature, "signed-by-" + First);
}

TEST_F(StatementHedgeTest, ReadThatAllMembersFailEndsWithTheirFailure) {
  for (const char *Id : {"m1", "m2", "m3"})
    this->Group.setRefusal(Id, "FAILED");
  const StatementReply &Ended = this->finishAfter("READ job");
  ASSERT_TRUE(Ended.Failure);
  EXPECT_EQ(Ended.Failure->Code, ReplyError::Failed) << Ended.Failure->Text;
}

TEST_F(StatementHedgeTest, WriteThatFailedIsNotRepeated) {
  this->Group.setRefusal("m1", "FAILED");
  std::size_t Before = this->received();
  const StatementReply &Ended = this->finishAfter("WRITE job new");
  ASSERT_TRUE(Ended.Failure);
  EXPECT_EQ(Ended.Failure->Code, ReplyError::Failed) << Ended.Failure->Text;
  EXPECT_EQ(this->received(), Before + 1);
}

TEST_F(StatementHedgeTest, AbandonedReadFreesItsLinks) {
  std::string First = this->startHeldRead();
  this->Dispatcher.abandon(this->Call);
  this->forOthers("", [&](const std::string &Id) {
    this->Group.setRepliesHeld(Id, false);
  });
  EXPECT_FALSE(this->run("READ job").Failure);
  this->runUntil([&] {
    auto Links = this->Dispatcher.links();
    return Links.Open == Links.Idle;
  });
  EXPECT_EQ(this->Replies, 1);
}

} // namespace
} // namespace turmericpitch
