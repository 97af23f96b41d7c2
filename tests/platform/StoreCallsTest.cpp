#include "platform/StoreCalls.h"
#include "core/Digest.h"
#include "platform/StoredObjects.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

HttpReply reply(unsigned Status, std::string Body = "{}") {
  return {.Status = Status, .Body = std::move(Body)};
}

TEST(StoreCalls, EncodesConditionsWritesAndRemovals) {
  TransactionRequest Request;
  Request.Compares = {{.Key = "a/b", .Modified = {7}}};
  Request.Writes = {PutOperation{.Key = "k", .Value = "v", .Lease = {9}},
                    DeleteOperation{.Key = "old"}};
  HttpRequest Encoded = encodeCommit(Request);
  EXPECT_EQ(Encoded.Target, "/api/kv-txn");
  EXPECT_EQ(Encoded.Body, R"({"if_rev":[{"key":"a/b","revision":7}],)"
                          R"("writes":[{"key":"k","value":"dg==","lease":9}],)"
                          R"("remove":["old"]})");
}

TEST(StoreCalls, PercentEncodesQueries) {
  EXPECT_EQ(encodeKeyRead("a b&c/d").Target, "/api/kv-key?key=a%20b%26c/d");
  EXPECT_EQ(encodePageRead("p/", "p/x", ReadConsistency::MayBeStale).Target,
            "/api/kv-range?prefix=p/&after=p/x&stale_ok=1");
}

TEST(StoreCalls, DistinguishesRefusalsFromUnknownOutcomes) {
  EXPECT_EQ(decodeCommit(reply(503)).error().Kind, ErrorKind::Unavailable);
  EXPECT_EQ(decodeCommit(reply(429)).error().Kind, ErrorKind::Overloaded);
  EXPECT_EQ(decodeCommit(reply(500)).error().Kind, ErrorKind::OutcomeUnknown);
  EXPECT_EQ(decodeCommit(reply(200, "{")).error().Kind,
            ErrorKind::OutcomeUnknown);
  EXPECT_EQ(decodeCommit(reply(412)).value().Result,
            CommitReply::CommitStatus::ConditionFailed);
  EXPECT_EQ(decodeCommit(reply(404)).value().Result,
            CommitReply::CommitStatus::LeaseNotFound);
}

/// Else a condition on the key's absence would be taken for one of an earlier
/// era.
TEST(StoreCalls, AnAbsentKeyIsReadInTheEraOfTheStore) {
  HttpReply Absent = reply(404);
  Absent.Fields = {{.Name = "Store-Era", .Value = "3"}};
  StoreItem Item = decodeKeyRead(Absent).value();
  EXPECT_FALSE(Item.Entry);
  EXPECT_EQ(Item.StoreRevision, positionInHistory({3}, 0));
}

TEST(StoreCalls, DecodesPagesKeysAndWatches) {
  auto Page = decodePage(reply(
      200, R"({"items":[{"key":"k","value":"dg==","revision":4,"created":4,)"
           R"("lease":0}],"more_pages":true,"current_rev":9})"));
  ASSERT_TRUE(Page);
  EXPECT_TRUE(Page.value().More);
  EXPECT_EQ(Page.value().Entries[0].Value, "v");
  EXPECT_FALSE(decodeKeyRead(reply(404)).value().Entry);
  auto Key = decodeKeyRead(reply(200, R"({"key":"k","value":"dg==",)"
                                      R"("revision":4,"current_rev":90})"));
  ASSERT_TRUE(Key);
  EXPECT_EQ(Key.value().StoreRevision.Value, 90U);
  EXPECT_TRUE(decodeWatch(reply(410)).value().HistoryCompacted);
  auto Watch = decodeWatch(
      reply(200, R"({"events":[{"key":"k","revision":5,"deleted":true}],)"
                 R"("current_rev":5})"));
  ASSERT_TRUE(Watch);
  EXPECT_TRUE(Watch.value().Events[0].Deleted);
}

HttpReply replyOfEra(std::string Era, std::string Body) {
  HttpReply Reply = reply(200, std::move(Body));
  Reply.Fields = {{.Name = "store-era", .Value = std::move(Era)}};
  return Reply;
}

TEST(StoreCalls, RevisionsCarryTheEraOfTheReply) {
  constexpr const char *Body =
      R"({"items":[{"key":"k","value":"dg==","revision":4}],"current_rev":9})";
  auto Before = decodePage(replyOfEra("2", Body));
  auto After = decodePage(replyOfEra("3", Body));
  ASSERT_TRUE(Before && After);
  EXPECT_LT(Before.value().StoreRevision, After.value().Entries[0].Modified);
  EXPECT_EQ(eraOf(After.value().StoreRevision).Value, 3U);
  EXPECT_EQ(eraOfReply(reply(200)).Value, 0U);
  // The store itself gets back what it gave out.
  Revision Position = After.value().Entries[0].Modified;
  EXPECT_NE(encodeCommit({.Compares = {{.Key = "k", .Modified = Position}},
                          .Writes = {}})
                .Body.find("\"revision\":4"),
            std::string::npos);
  EXPECT_NE(encodeWatch("k", Position, std::chrono::milliseconds(5))
                .Target.find("after=4&"),
            std::string::npos);
}

/// The store may have given out the watch's revision again.
TEST(StoreCalls, WatchAcrossARestoreHasLostItsHistory) {
  HttpReply Events = replyOfEra("3", R"({"events":[],"current_rev":9})");
  EXPECT_TRUE(
      decodeWatch(Events, positionInHistory({2}, 8)).value().HistoryCompacted);
  EXPECT_FALSE(
      decodeWatch(Events, positionInHistory({3}, 8)).value().HistoryCompacted);
}

// One such key hid all other entries of a listing.
TEST(StoreCalls, KeyOfAnyBytesHidesNoOtherEntry) {
  auto Page = decodePage(
      reply(200, "{\"items\":[{\"key\":\"servers/\xff\",\"value\":\"eA==\","
                 "\"revision\":3},{\"key\":\"servers/b\",\"value\":\"eA==\","
                 "\"revision\":4}],\"more_pages\":false,\"current_rev\":5}"));
  ASSERT_TRUE(Page);
  EXPECT_EQ(Page.value().Entries.size(), 2U);
}

TEST(StoreCalls, PromotionContainsRequesterAndFencingToken) {
  HttpRequest Order = encodePromotion({.Service = {"ledger"},
                                       .Target = {"m2"},
                                       .Requester = {"front-1"},
                                       .FencingToken = 41});
  EXPECT_EQ(Order.Body, R"({"service":"ledger","id":"m2"})");
  ASSERT_EQ(Order.Fields.size(), 2U);
  EXPECT_EQ(Order.Fields[1].Value, "41");
  EXPECT_FALSE(decodePromotion(reply(409)).value());
  EXPECT_EQ(decodePromotion(reply(429)).error().Kind, ErrorKind::Overloaded);
  EXPECT_EQ(decodePromotion(reply(503)).error().Kind,
            ErrorKind::OutcomeUnknown);
}

KeyValueEntry entry(std::string Value) {
  return {.Key = "servers/i-1", .Value = std::move(Value), .Modified = {1}};
}

TEST(StoredObjects, DecodesAMemberEntry) {
  auto Member = toOutcome([] {
    return decodeMemberEntry(
        entry(R"({"service":"ledger","addr":"10.1.0.9:8080","zone":"a",)"
              R"("version":"v1","slots":5,"state":"draining",)"
              R"("cold_left_ms":0,"db_role":"primary","seq":4,"born":77})"));
  });
  ASSERT_TRUE(Member);
  EXPECT_EQ(Member.value().Id.Value, "i-1");
  EXPECT_TRUE(Member.value().Draining);
  EXPECT_EQ(Member.value().Role, MemberRole::Primary);
  EXPECT_EQ(Member.value().StartedAt, 77U);
}

TEST(StoredObjects, RefusesInvalidMemberEntries) {
  for (const char *Value :
       {"", "no json", "[]", R"({"service":"ledger"})",
        R"({"service":1,"addr":"10.1.0.9:8080","zone":"a","slots":5,)"
        R"("state":"ready","db_role":"replica"})",
        R"({"service":"l","addr":"10.1.0.9:8080","zone":"a","slots":5,)"
        R"("state":"asleep","db_role":"replica"})",
        R"({"service":"l","addr":"nowhere","zone":"a","slots":5,)"
        R"("state":"ready","db_role":"replica"})",
        R"({"service":"l","addr":"10.1.0.9:8080","zone":"a","slots":0,)"
        R"("state":"ready","db_role":"replica"})"})
    EXPECT_FALSE(toOutcome([&] { return decodeMemberEntry(entry(Value)); }))
        << Value;
}

TEST(StoredObjects, SkipsOnlyRoutesOfUnknownKind) {
  auto Table = toOutcome([] {
    return decodeRouteTable(
        R"({"version":7,"routes":[)"
        R"({"name":"a","host":"x","kind":"quorum","service":"s",)"
        R"("timeout_ms":1000,"latency_goal_ms":200},)"
        R"({"name":"b","host":"y","kind":"primary","service":"s",)"
        R"("timeout_ms":1000,"latency_goal_ms":200,"priority":1}],)"
        R"("services":[{"name":"s","max_conns":60}],)"
        R"("limits":{"tx_idle_ms":3000,"max_body_bytes":1}})");
  });
  ASSERT_TRUE(Table);
  EXPECT_EQ(Table.value().Version, 7U);
  EXPECT_EQ(Table.value().Routes.size(), 1U);
  EXPECT_TRUE(Table.value().Routes.contains("y"));
  EXPECT_EQ(Table.value().Services.at({"s"}).MaximumConnections, 60U);
  EXPECT_EQ(Table.value().TransactionIdleTimeout, std::chrono::seconds(3));
  EXPECT_FALSE(toOutcome([] { return decodeRouteTable("{}"); }));
}

// A figure with a fraction, or a whole one written with a point, made a route
// unknown, a member unused or the whole configuration refused.
TEST(StoredObjects, TakesEachFigureThatThePlatformAllows) {
  for (const char *Figure : {"2500", "2500.0", "2500.5", "2.5e3"}) {
    std::string Number = Figure;
    auto Table = toOutcome([&] {
      return decodeRouteTable(
          R"({"version":7.0,"routes":[)"
          R"({"name":"b","host":"y","kind":"primary","service":"s",)"
          R"("timeout_ms":)" +
          Number + R"(,"latency_goal_ms":)" + Number +
          R"(,"max_staleness_ms":)" + Number +
          R"(,"priority":1.0}],"services":[{"name":"s","max_conns":60.0,)"
          R"("sync_replicas":1.0}],"limits":{"tx_idle_ms":)" +
          Number + "}}");
    });
    ASSERT_TRUE(Table) << Figure << ": " << Table.error().Message;
    EXPECT_EQ(Table.value().Version, 7U);
    ASSERT_TRUE(Table.value().Routes.contains("y")) << Figure;
    Duration Expected = std::chrono::milliseconds(2500);
    if (Number == "2500.5")
      Expected += std::chrono::microseconds(500);
    EXPECT_EQ(Table.value().Routes.at("y").StatementTimeout, Expected);
    EXPECT_EQ(Table.value().TransactionIdleTimeout, Expected);
    EXPECT_EQ(Table.value().Services.at({"s"}).SynchronousReplicas, 1U);
  }
  auto Member = toOutcome([] {
    return decodeMemberEntry(
        entry(R"({"service":"ledger","addr":"10.1.0.9:8080","zone":"a",)"
              R"("version":"v1","slots":5.0,"state":"ready",)"
              R"("cold_left_ms":0.5,"db_role":"primary","seq":4.0,)"
              R"("born":1.7e12})"));
  });
  ASSERT_TRUE(Member) << Member.error().Message;
  EXPECT_EQ(Member.value().Slots, 5U);
  EXPECT_EQ(Member.value().StartedAt, 1'700'000'000'000U);
}

TEST(RouteTable, RefusesOlderVersions) {
  RouteController Routes;
  EXPECT_FALSE(Routes.loaded());
  EXPECT_TRUE(
      Routes.replaceIfNewer({.Version = 5, .Routes = {}, .Services = {}}));
  EXPECT_FALSE(
      Routes.replaceIfNewer({.Version = 5, .Routes = {}, .Services = {}}));
  EXPECT_FALSE(
      Routes.replaceIfNewer({.Version = 3, .Routes = {}, .Services = {}}));
  EXPECT_EQ(Routes.version(), 5U);
}

} // namespace
} // namespace turmericpitch
