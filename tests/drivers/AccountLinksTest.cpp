// Sessions of several client accounts through the dispatcher and real
// connections: members receive an account's statements only on its links.
#include "core/DecisionLog.h"
#include "drivers/StatementDispatcher.h"
#include "tests/platform/SessionGroup.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <random>
#include <set>
#include <unistd.h>

namespace turmericpitch {
namespace {

const ServiceId Service{"ledger"};
constexpr std::size_t SessionsPerAccount = 3;
constexpr int Rounds = 400;
/// One fewer than the member's connections, so that no statement waits for a
/// transaction to end.
constexpr int MaxOpenTransactions = 4;

std::string ownAddress() {
  auto Id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (Id >> 16U) % 254) + "." +
         std::to_string((Id >> 8U) % 256) + "." + std::to_string(1 + Id % 254);
}

class AccountLinksTest : public testing::Test {
protected:
  AccountLinksTest()
      : Group(this->Loop.get_executor(), Service.Value),
        Dispatcher(
            this->Loop.get_executor(), {.Self = {"front-1"}, .Zone = {"a"}},
            [](const ServiceId &) {
              return PrimaryLease{.Epoch = 1,
                                  .Primary = {"m1"},
                                  .ExpiresAt = BootClock().now() +
                                               std::chrono::seconds(60)};
            },
            [](const ServiceId &) { return std::optional<Duration>(); }) {
    sendLogTo("");
    EXPECT_TRUE(this->Group.add("m1", {.Address = ownAddress(), .Port = 0}));
    RouteTable Table;
    Table.Version = 1;
    Table.Routes["bookings"] = route();
    // Fewer connections than accounts with open transactions.
    Table.Services[Service] = {.MaximumConnections = 5};
    this->Routes.replaceIfNewer(std::move(Table));
    RegistryChange Change;
    Change.Added.push_back({.Id = {"m1"},
                            .Service = Service,
                            .Where = this->Group.members().front().Where,
                            .Zone = {"a"},
                            .Slots = 4,
                            .Role = MemberRole::Primary});
    this->Dispatcher.onRegistry(Change, this->Routes, 1);
    for (const char *Account : {"sabarmati", "naroda", ""})
      for (std::size_t Index = 0; Index < SessionsPerAccount; ++Index) {
        auto Session = std::make_shared<SessionContext>();
        Session->Account = ClientAccountId{Account};
        Session->Route = route();
        this->Sessions.push_back(std::move(Session));
      }
  }

  static RouteRule route() {
    return {.Name = "r1",
            .Database = "bookings",
            .Service = Service,
            .Level = Consistency::Strong,
            .StatementTimeout = std::chrono::seconds(30),
            .LatencyGoal = std::chrono::milliseconds(200)};
  }

  /// What a member must be told as the caller.
  static std::string callerOf(const SessionContext &Session) {
    return Session.Account.Value.empty() ? "turmericpitch"
                                         : Session.Account.Value;
  }

  [[nodiscard]] bool mayBegin() const {
    auto Open = std::count_if(
        this->Sessions.begin(), this->Sessions.end(),
        [](const auto &Each) { return Each->State.inTransaction(); });
    return Open < MaxOpenTransactions;
  }

  std::string nextText(const SessionContext &Session) {
    std::string Caller = callerOf(Session);
    std::vector<std::string> Texts = {"READ job", "WRITE " + Caller + " x",
                                      "SET tz " + Caller,
                                      "PREPARE s1 READ " + Caller};
    if (Session.State.inTransaction())
      Texts.insert(Texts.end(), {"COMMIT", "ROLLBACK"});
    else if (this->mayBegin())
      Texts.emplace_back("BEGIN");
    if (Session.State.prepared("s1"))
      Texts.emplace_back("EXECUTE s1 job");
    std::uniform_int_distribution<std::size_t> Pick(0, Texts.size() - 1);
    return Texts[Pick(this->Random)];
  }

  /// Starts the session's next statement. Its id names the caller, as do the
  /// values and shapes that the proxy sets up itself.
  void start(const std::shared_ptr<SessionContext> &Session) {
    auto Call = std::make_shared<StatementCall>(this->Loop.get_executor());
    Call->Request = std::get<Statement>(decodeCallerLine(
        "QUERY " + callerOf(*Session) + " " + this->nextText(*Session)));
    if (Session->State.answerLocally(Call->Request))
      return;
    if (Call->Request.Kind == StatementKind::Rollback) {
      Session->State.onTransactionEnded();
      return this->Dispatcher.rollBack(Session);
    }
    Call->Session = Session;
    TimePoint Now = BootClock().now();
    Call->Terms = {.ArrivedAt = Now,
                   .Goal = Now + std::chrono::milliseconds(200),
                   .Deadline = Now + std::chrono::seconds(30)};
    this->Busy.insert(Session);
    Call->OnReply = [this, Session](const StatementReply &Reply) {
      this->Busy.erase(Session);
      this->Failures += Reply.Failure ? 1 : 0;
      ++this->Replies;
    };
    this->Dispatcher.submit(Call);
  }

  /// Runs handlers until at most Max statements are running.
  void settle(std::size_t Max) {
    while (this->Busy.size() > Max)
      this->Loop.run_one();
  }

  boost::asio::io_context Loop;
  SessionGroup Group;
  RouteController Routes;
  StatementDispatcher Dispatcher;
  std::vector<std::shared_ptr<SessionContext>> Sessions;
  std::mt19937 Random{20261203};
  std::set<std::shared_ptr<SessionContext>> Busy;
  std::size_t Replies = 0;
  std::size_t Failures = 0;
};

TEST_F(AccountLinksTest, LinksCarryStatementsOfTheirAccountOnly) {
  std::uniform_int_distribution<std::size_t> Pick(0, this->Sessions.size() - 1);
  for (int Round = 0; Round < Rounds; ++Round) {
    auto Session = this->Sessions[Pick(this->Random)];
    if (!this->Busy.contains(Session))
      this->start(Session);
    this->settle(Round % 4);
  }
  this->settle(0);
  EXPECT_EQ(this->Failures, 0U);
  EXPECT_GT(this->Replies, 0U);
  for (const SessionGroup::Received &Each : this->Group.received()) {
    EXPECT_TRUE(Each.Id == "-" || Each.Id == Each.Caller) << Each.Text;
    for (const char *Account : {"sabarmati", "naroda", "turmericpitch"}) {
      bool Named = Each.Text.find(Account) != std::string::npos;
      EXPECT_TRUE(!Named || Each.Caller == Account) << Each.Text;
    }
  }
  EXPECT_GT(this->Dispatcher.links().Evicted, 0U);
}

} // namespace
} // namespace turmericpitch
