// The exchange of credit over datagrams, with another instance played by the
// test, on one thread.
#include "drivers/LimitExchange.h"

#include "core/DecisionLog.h"
#include "tests/support/OwnAddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

namespace asio = boost::asio;

constexpr std::uint16_t PeerPort = 7441;
/// Nothing listens there.
constexpr std::uint16_t ClosedPort = 7442;
const InstanceId Self{"self"};
const InstanceId Other{"other"};
const ClientAccountId Account{"desk"};

/// Fails a test that would otherwise hang.
constexpr auto TestTimeout = std::chrono::seconds(60);

/// A second loopback address that is unique to this process: other tests run at
/// the same time.
std::string otherAddress() {
  std::string Own = ownAddress();
  std::size_t Second = Own.find('.') + 1;
  std::size_t Third = Own.find('.', Second);
  // ownAddress() uses the lower half of this range.
  constexpr int UpperHalf = 128;
  int Octet = std::stoi(Own.substr(Second, Third - Second));
  return Own.substr(0, Second) + std::to_string(Octet + UpperHalf) +
         Own.substr(Third);
}

class LimitExchangeMessages : public testing::Test {
protected:
  LimitExchangeMessages()
      : Store(this->Loop.get_executor(),
              {.Store = {.Address = ownAddress(), .Port = ClosedPort},
               .Promotions = {}}),
        Instances(Self),
        Exchange(this->Loop.get_executor(),
                 {.Self = Self,
                  .Listen = {.Address = ownAddress(), .Port = PeerPort},
                  .Incarnation = 5},
                 this->Store, this->Instances,
                 {.WritesTable = [] { return false; }}),
        Peer(this->Loop.get_executor(),
             {.Address = otherAddress(), .Port = PeerPort}, Other,
             {{.Id = "frame", .Secret = "turmericpitch"}}) {
    sendLogTo(this->LogPath);
    this->Instances.onListing(
        {{.Id = Other,
          .PeerEndpoint = {.Address = otherAddress(), .Port = PeerPort},
          .Zone = {"a"}}},
        BootClock().now());
    this->Peer.onTopic(PeerTopic::AccountLimits, [this](const PeerArrival &In) {
      auto Message =
          toOutcome([&] { return decodeLimitMessage(In.Frame.Payload); });
      if (!Message)
        return;
      if (auto *Reply = std::get_if<LimitReply>(&Message.value()))
        this->Replies.push_back(*Reply);
      else
        this->onRequest(std::get<LimitRequest>(Message.value()));
    });
    EXPECT_TRUE(this->Exchange.start());
    EXPECT_TRUE(this->Peer.start());
  }
  ~LimitExchangeMessages() override {
    sendLogTo("");
    std::remove(this->LogPath.c_str());
  }

  void onRequest(const LimitRequest &Request) {
    this->Asked += Request.Needs.size();
    LimitReply Reply{.RequestIncarnation = Request.Incarnation,
                     .RequestSequence = Request.Sequence,
                     .Stamp = {.Incarnation = 1, .Time = BootClock().now()}};
    for (const AccountNeed &Each : Request.Needs)
      if (this->Grants)
        Reply.Grants.push_back({.Account = Each.Account,
                                .Operations = 1,
                                .Validity = std::chrono::seconds(5)});
    ++this->Answered;
    this->sendToExchange(encodeLimitMessage(Reply));
  }
  void sendToExchange(std::string Payload) {
    this->Peer.send({.Address = ownAddress(), .Port = PeerPort},
                    PeerTopic::AccountLimits, std::move(Payload));
  }
  void requestOf(std::uint64_t Sequence) {
    this->sendToExchange(encodeLimitMessage(
        LimitRequest{.Incarnation = 9, .Sequence = Sequence}));
  }
  void loadLimits() {
    this->Exchange.setLimits({{Account, {.PerSecond = 1, .Burst = 5}}});
  }
  void admit() {
    this->Exchange.admit(Account, [this](const LimitDecision &Decision) {
      this->Decisions.push_back(Decision);
    });
  }
  template <typename Callable> void runUntil(Callable Condition) {
    auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
    while (!Condition()) {
      ASSERT_LT(std::chrono::steady_clock::now(), Deadline);
      this->Loop.run_one_for(std::chrono::seconds(1));
    }
  }
  /// Runs what is due now, without waiting for any timer.
  void runDue() {
    constexpr int Rounds = 10;
    for (int Round = 0; Round < Rounds; ++Round)
      this->Loop.poll();
  }
  std::size_t linesLogged(const std::string &Part) const {
    std::ifstream File(this->LogPath);
    std::size_t Count = 0;
    for (std::string Line; std::getline(File, Line);)
      Count += Line.find(Part) != std::string::npos ? 1 : 0;
    return Count;
  }

  std::string LogPath =
      testing::TempDir() + "limit-exchange-" + std::to_string(getpid()) + "-" +
      testing::UnitTest::GetInstance()->current_test_info()->name() + ".log";
  asio::io_context Loop;
  StoreClient Store;
  InstanceRegistry Instances;
  LimitExchange Exchange;
  PeerTransport Peer;
  std::vector<LimitReply> Replies;
  std::vector<LimitDecision> Decisions;
  bool Grants = true;
  std::size_t Asked = 0;
  std::size_t Answered = 0;
};

/// Else owners would deposit with an instance that drops the credit.
TEST_F(LimitExchangeMessages, AnswersNobodyBeforeItsLimitsAreLoaded) {
  this->requestOf(1);
  this->runDue();
  this->loadLimits();
  this->requestOf(2);
  this->runUntil([&] { return !this->Replies.empty(); });
  EXPECT_EQ(this->Replies.front().RequestSequence, 2U);
}

TEST_F(LimitExchangeMessages, AFloodOfMalformedMessagesIsLoggedOnce) {
  constexpr int Malformed = 100;
  this->loadLimits();
  for (int Count = 0; Count < Malformed; ++Count)
    this->sendToExchange("malformed");
  this->requestOf(1);
  this->runUntil([&] { return !this->Replies.empty(); });
  std::size_t Lines = this->linesLogged("event=limit_message_dropped");
  EXPECT_GE(Lines, 1U);
  EXPECT_LE(Lines, 3U);
}

TEST_F(LimitExchangeMessages,
       ARefundThatServesAWaitingOperationIsDeliveredAtOnce) {
  this->Exchange.onInstancesChanged();
  this->loadLimits();
  // Starts the ticks, which reach the keeper.
  asio::co_spawn(this->Loop, this->Exchange.run(), asio::detached);
  this->runUntil([&] { return this->Answered > 0; });
  this->runDue();
  this->admit();
  this->runUntil([&] { return !this->Decisions.empty(); });
  ASSERT_TRUE(this->Decisions.front().Admitted);
  this->Grants = false;
  this->Asked = 0;
  this->admit();
  this->runUntil([&] { return this->Asked > 0; });
  this->runDue();
  ASSERT_EQ(this->Decisions.size(), 1U);
  this->Exchange.refund(this->Decisions.front().Grant);
  // Refunds are called inside the dispatcher's loops.
  EXPECT_EQ(this->Decisions.size(), 1U);
  this->runDue();
  ASSERT_EQ(this->Decisions.size(), 2U);
  EXPECT_TRUE(this->Decisions.back().Admitted);
}

} // namespace
} // namespace turmericpitch
