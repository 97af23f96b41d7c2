#include "drivers/HttpClient.h"

#include "drivers/HttpConnection.h"
#include "drivers/HttpServer.h"
#include "tests/support/OwnAddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

namespace asio = boost::asio;

// Each silent connection of the pool cost one call its timeout.
TEST(HttpClient, SilentCallClosesTheIdleConnections) {
  constexpr int Connections = 4;
  asio::io_context Loop;
  asio::steady_timer Never(Loop, asio::steady_timer::time_point::max());
  asio::steady_timer AllArrived(Loop, asio::steady_timer::time_point::max());
  bool Silent = false;
  int Waiting = 0;
  HttpServer Server(Loop.get_executor(),
                    {.Listen = {.Address = ownAddress(), .Port = 0}}, [&] {
                      return [&, Opened = Silent](
                                 const HttpRequest &) -> Awaitable<HttpReply> {
                        // The first requests wait for each other, so that each
                        // has a
                        // connection.
                        boost::system::error_code Cancelled;
                        if (++Waiting < Connections)
                          co_await AllArrived.async_wait(asio::redirect_error(
                              asio::use_awaitable, Cancelled));
                        else
                          AllArrived.cancel();
                        if (Silent && !Opened)
                          co_await Never.async_wait(asio::use_awaitable);
                        co_return HttpReply{};
                      };
                    });
  ASSERT_TRUE(Server.start());
  HttpClient Client(Loop.get_executor(), {.Service = {.Address = ownAddress(),
                                                      .Port = Server.port()}});
  auto Call = [&](Duration Timeout) -> Awaitable<bool> {
    HttpRequest Request{.Target = "/"};
    auto Reply = co_await Client.call(std::move(Request), Timeout);
    co_return Reply.hasValue();
  };
  constexpr Duration Long = std::chrono::seconds(60);
  int Open = 0;
  std::optional<bool> AfterSilence;
  auto Run = [&]() -> Awaitable<void> {
    bool Answered = co_await Call(Long);
    EXPECT_TRUE(Answered);
    if (++Open < Connections)
      co_return;
    Silent = true;
    bool First = co_await Call(std::chrono::milliseconds(20));
    EXPECT_FALSE(First);
    AfterSilence = co_await Call(Long);
    Loop.stop();
  };
  for (int Index = 0; Index < Connections; ++Index)
    asio::co_spawn(Loop, Run, [](std::exception_ptr) {});
  Loop.run();
  EXPECT_EQ(AfterSilence, true);
}

// Large replies of the store were cut off and asked for again on links that
// take longer than the timeout for them.
TEST(HttpClient, LongRepliesMayTakeLonger) {
  constexpr Duration Timeout = std::chrono::milliseconds(700);
  EXPECT_EQ(replyTimeout(Timeout, 0), Timeout);
  constexpr std::size_t Configuration = 350'000;
  constexpr double SlowLinkBytesPerSecond = 2e6 / 8;
  std::chrono::duration<double> Transfer(Configuration /
                                         SlowLinkBytesPerSecond);
  EXPECT_GT(replyTimeout(Timeout, Configuration), Transfer);
  // A reply that stops is still given up.
  EXPECT_LT(replyTimeout(Timeout, Configuration), std::chrono::seconds(4));
}

} // namespace
} // namespace turmericpitch
