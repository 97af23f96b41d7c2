#include "membership/PeerQueries.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::seconds;

class PeerQueriesTest : public ::testing::Test {
protected:
  void list(const std::vector<std::string> &Names) {
    std::vector<RegisteredInstance> Listed;
    for (const std::string &Each : Names)
      Listed.push_back({.Id = {Each},
                        .PeerEndpoint = {},
                        .Zone = {Each.substr(0, 1)},
                        .Stored = {7}});
    this->Instances.onListing(std::move(Listed), this->Now);
  }
  /// Queries an instance and returns the query's serial.
  std::uint32_t query(const std::string &Peer) {
    this->Queries.onSent({Peer}, ++this->Serial, this->Now);
    return this->Serial;
  }

  TimePoint Now = TimePoint(seconds(100));
  std::uint32_t Serial = 0;
  InstanceRegistry Instances{{"a1"}};
  PeerQueries Queries{this->Instances};
};

TEST_F(PeerQueriesTest, ASilenceBeginsWithTheFirstUnansweredQuery) {
  this->list({"a1", "a2", "b1"});
  EXPECT_EQ(this->Queries.silentSince({"b1"}), std::nullopt);
  TimePoint First = this->Now;
  std::uint32_t Sent = this->query("b1");
  this->Now += seconds(1);
  this->query("b1");
  EXPECT_EQ(this->Queries.silentSince({"b1"}), First);
  EXPECT_EQ(this->Queries.sentAt({"b1"}, Sent), First);
  EXPECT_EQ(this->Queries.silentOutsideSince({"a"}, Duration{0}, this->Now),
            First);
  EXPECT_EQ(this->Queries.silentOutsideSince({"a"}, seconds(1), this->Now),
            std::nullopt);
  this->Queries.onReply({"b1"}, false, this->Now);
  EXPECT_EQ(this->Queries.silentSince({"b1"}), std::nullopt);
  EXPECT_EQ(this->Queries.lastReplyOutside({"a"}), this->Now);
  EXPECT_EQ(this->Queries.lastReplyOutside({"b"}), std::nullopt);
}

TEST_F(PeerQueriesTest, ReportsOfStoppingHoldForTheRegisteredProcess) {
  this->list({"a1", "b1"});
  this->query("b1");
  this->Queries.onReply({"b1"}, true, this->Now);
  RegisteredInstance Entry = *this->Instances.find({"b1"});
  EXPECT_TRUE(this->Queries.isStopping(Entry));
  Entry.Stored = {8};
  EXPECT_FALSE(this->Queries.isStopping(Entry));
}

TEST_F(PeerQueriesTest, OldQueriesAreForgotten) {
  std::uint32_t First = this->query("b1");
  for (std::size_t Sent = 0; Sent < PeerQueries::MaxPending; ++Sent)
    this->query("b1");
  EXPECT_EQ(this->Queries.sentAt({"b1"}, First), std::nullopt);
  EXPECT_TRUE(this->Queries.sentAt({"b1"}, First + 1));
}

// Whoever sends datagrams under ever new names made the tables grow for as long
// as the process lived, and so did replaced instances.
TEST_F(PeerQueriesTest, InstancesThatAreNotRegisteredAreBounded) {
  this->list({"a1", "b1"});
  std::uint32_t Sent = this->query("b1");
  for (int Index = 0; Index < 10'000; ++Index) {
    std::string Name = "c" + std::to_string(Index);
    std::uint32_t Query = this->query(Name);
    ASSERT_TRUE(this->Queries.sentAt({Name}, Query));
    this->Queries.onReply({Name}, true, this->Now);
    this->Queries.onReply({"d" + std::to_string(Index)}, true, this->Now);
    ASSERT_LE(this->Queries.count(), 2 + PeerQueries::MaxUnregistered);
  }
  EXPECT_TRUE(this->Queries.sentAt({"b1"}, Sent));
}

} // namespace
} // namespace turmericpitch
