#include "drivers/HttpServer.h"

#include "drivers/BlockingClient.h"
#include "drivers/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace turmericpitch {
namespace {

namespace asio = boost::asio;

constexpr Duration Patience = std::chrono::seconds(30);

/// A server whose handler waits until it is released. Verdicts depend on the
/// order of events alone: each step waits for the one before it.
class HttpServerDrainTest : public ::testing::Test {
protected:
  HttpServerDrainTest() {
    this->Thread = std::thread([this] { this->Context.run(); });
  }

  /// Takes a free port, as tests run side by side.
  void start() {
    HttpServerOptions Options;
    Options.Listen = this->Where;
    this->Server = std::make_unique<HttpServer>(
        this->Exec, Options, [this]() -> HttpHandler {
          return [this](HttpRequest Request) -> Awaitable<HttpReply> {
            return this->handle(std::move(Request));
          };
        });
    ASSERT_TRUE(this->Server->start());
    this->Where.Port = this->Server->port();
  }

  ~HttpServerDrainTest() override {
    if (this->Server)
      this->Server->close();
    this->Work.reset();
    this->Context.stop();
    this->Thread.join();
  }

  Awaitable<HttpReply> handle(HttpRequest Request) {
    HttpReply Reply;
    Reply.Body = "done " + Request.Target;
    Reply.HoldsConnection = Request.Target == "/begin";
    if (Request.Target != "/slow")
      co_return Reply;
    this->Started.set_value();
    boost::system::error_code Ignored;
    auto Token = asio::redirect_error(asio::use_awaitable, Ignored);
    co_await this->Release.async_wait(Token);
    co_return Reply;
  }

  void release() {
    asio::post(this->Exec, [this] { this->Release.cancel(); });
  }

  std::shared_ptr<HttpConnection> open() {
    auto Opened = asio::co_spawn(
        this->Exec, HttpConnection::open(this->Exec, this->Where, Patience),
        asio::use_future);
    return Opened.get().value();
  }

  std::future<Outcome<HttpReply>>
  ask(const std::shared_ptr<HttpConnection> &Connection,
      const std::string &Target) {
    HttpRequest Request;
    Request.Target = Target;
    Request.Host = "test";
    return asio::co_spawn(
        this->Exec,
        [Connection, Request]() -> Awaitable<Outcome<HttpReply>> {
          co_return co_await Connection->exchange(Request, Patience);
        },
        asio::use_future);
  }

  /// A request that has reached its handler and stays there.
  std::future<Outcome<HttpReply>>
  askSlowly(const std::shared_ptr<HttpConnection> &Connection) {
    auto Reply = this->ask(Connection, "/slow");
    this->Started.get_future().wait();
    return Reply;
  }

  Endpoint Where{.Address = "127.0.0.1", .Port = 0};
  asio::io_context Context;
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      Work{Context.get_executor()};
  Executor Exec{Context.get_executor()};
  asio::steady_timer Release{Context,
                             std::chrono::steady_clock::time_point::max()};
  std::promise<void> Started;
  std::unique_ptr<HttpServer> Server;
  std::thread Thread;
};

TEST_F(HttpServerDrainTest, ARequestInFlightGetsItsWholeAnswer) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  auto Busy = this->open();
  auto Reply = this->askSlowly(Busy);
  this->Server->drain();
  this->Server->refuseNew();
  EXPECT_EQ(this->Server->requestsInFlight(), 1U);
  this->release();
  auto Got = Reply.get();
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().Body, "done /slow");
  EXPECT_FALSE(Busy->usable());
}

TEST_F(HttpServerDrainTest, NewConnectionsAreServedUntilRefusalBegins) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  this->Server->drain();
  auto Served = this->ask(this->open(), "/quick").get();
  ASSERT_TRUE(Served);
  EXPECT_EQ(Served.value().Body, "done /quick");
  this->Server->refuseNew();
  auto Refused = this->ask(this->open(), "/quick").get();
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused.value().Status, httpStatusOf(ErrorKind::NotRun));
  EXPECT_NE(Refused.value().Body.find("\"NotRun\""), std::string::npos)
      << Refused.value().Body;
}

TEST_F(HttpServerDrainTest, IdleConnectionsAreClosed) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  auto Idle = this->open();
  ASSERT_TRUE(this->ask(Idle, "/quick").get());
  EXPECT_TRUE(Idle->usable());
  this->Server->refuseNew();
  EXPECT_FALSE(this->ask(Idle, "/quick").get());
}

TEST_F(HttpServerDrainTest, AConnectionThatHoldsWorkGoesOn) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  auto Holder = this->open();
  ASSERT_TRUE(this->ask(Holder, "/begin").get());
  EXPECT_EQ(this->Server->connectionsHeld(), 1U);
  this->Server->refuseNew();
  auto Commit = this->ask(Holder, "/commit").get();
  ASSERT_TRUE(Commit);
  EXPECT_EQ(Commit.value().Body, "done /commit");
  EXPECT_EQ(this->Server->connectionsHeld(), 0U);
}

TEST_F(HttpServerDrainTest, TheEndAnswersWhatStillRunsAsUnknown) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  auto Reply = this->askSlowly(this->open());
  this->Server->endOpen();
  auto Got = Reply.get();
  ASSERT_TRUE(Got);
  EXPECT_NE(Got.value().Body.find("\"OutcomeUnknown\""), std::string::npos)
      << Got.value().Body;
}

} // namespace
} // namespace turmericpitch
