// Copies of the store between instances on loopback, also of builds that don't
// compress them.
#include "drivers/StoreCopies.h"

#include "tests/support/OwnAddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

namespace asio = boost::asio;

const std::vector<KeyValueEntry> Entries{
    {.Key = "op/config",
     .Value = std::string(300'000, 'x') + std::string("\0\xff", 2),
     .Modified = {40}}};
constexpr std::uint16_t Port = 7440;

Endpoint listenAt() { return {.Address = ownAddress(), .Port = Port}; }

Outcome<StoreCopy> fetchFrom(asio::io_context &Loop, Endpoint From) {
  StoreCopies Own(Loop.get_executor(), {.Listen = {}});
  std::optional<Outcome<StoreCopy>> Fetched;
  auto Run = [&]() -> Awaitable<void> {
    Fetched = co_await Own.fetch(CopySubject::Configuration, From);
    Loop.stop();
  };
  asio::co_spawn(Loop, Run, [](std::exception_ptr) {});
  Loop.restart();
  Loop.run();
  // The holder sees the end of the connection.
  Loop.restart();
  Loop.poll();
  return *Fetched;
}

TEST(StoreCopies, CopyAndItsAgeAreHandedOver) {
  asio::io_context Loop;
  StoreCopies Holder(Loop.get_executor(), {.Listen = listenAt()});
  ASSERT_TRUE(Holder.start());
  EXPECT_FALSE(fetchFrom(Loop, listenAt()));
  constexpr Duration Age = std::chrono::seconds(3);
  TimePoint ReadSentAt = BootClock().now() - Age;
  Holder.keep(CopySubject::Configuration, Entries, {43}, ReadSentAt);
  // The second reply is made of the same compressed bytes.
  for (int Count = 0; Count < 2; ++Count) {
    auto Copy = fetchFrom(Loop, listenAt());
    ASSERT_TRUE(Copy) << Copy.error().Message;
    EXPECT_EQ(Copy.value().Entries, Entries);
    EXPECT_EQ(Copy.value().StoreRevision, Revision{43});
    EXPECT_GE(Copy.value().Age, Age);
    EXPECT_LE(Copy.value().Age,
              BootClock().now() - ReadSentAt + std::chrono::milliseconds(1));
  }
  Holder.keep(CopySubject::Configuration, {}, {44}, ReadSentAt);
  auto Newer = fetchFrom(Loop, listenAt());
  ASSERT_TRUE(Newer) << Newer.error().Message;
  EXPECT_TRUE(Newer.value().Entries.empty());
}

TEST(StoreCopies, BuildThatDoesNotCompressIsAskedForAPlainCopy) {
  asio::io_context Loop;
  StoreCopy Copy{.Entries = Entries,
                 .StoreRevision = {43},
                 .Age = std::chrono::milliseconds(20)};
  HttpServer Earlier(Loop.get_executor(), {.Listen = listenAt()}, [&] {
    return [&](const HttpRequest &Request) -> Awaitable<HttpReply> {
      HttpReply Reply;
      if (Request.Target == "/copies/digested_configuration")
        Reply.Body = encodeStoreCopy(Copy);
      else
        Reply.Status = 404;
      co_return Reply;
    };
  });
  ASSERT_TRUE(Earlier.start());
  auto Fetched = fetchFrom(Loop, listenAt());
  ASSERT_TRUE(Fetched);
  EXPECT_EQ(Fetched.value(), Copy);
}

TEST(StoreCopies, RepliesWithoutAUsableAgeAreRefused) {
  HttpReply Reply{.Body = "{}"};
  for (const char *Age : {"", "-1", "5x", "99999999999999999999"}) {
    Reply.Fields = {{.Name = "Copy-Age-Ms", .Value = Age}};
    EXPECT_FALSE(toOutcome([&] { return decodeCompressedCopy(Reply); })) << Age;
  }
}

} // namespace
} // namespace turmericpitch
