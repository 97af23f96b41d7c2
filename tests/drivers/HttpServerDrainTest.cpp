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

constexpr Duration Timeout = std::chrono::seconds(30);

/// A server whose handler of /slow waits until release() is called. The tests
/// depend only on the order of events, not on timing: each step waits for the
/// previous one.
class HttpServerDrainTest : public ::testing::Test {
protected:
  HttpServerDrainTest() {
    this->Thread = std::thread([this] { this->Context.run(); });
  }

  /// Starts the server on a free port, because tests run in parallel.
  void start() {
    HttpServerOptions Options;
    Options.Listen = this->ServerAddress;
    this->Server = std::make_unique<HttpServer>(
        this->Exec, Options, [this]() -> HttpHandler {
          return [this](HttpRequest Request) -> Awaitable<HttpReply> {
            return this->handle(std::move(Request));
          };
        });
    ASSERT_TRUE(this->Server->start());
    this->ServerAddress.Port = this->Server->port();
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
    Reply.PinsConnection = Request.Target == "/begin";
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
        this->Exec,
        HttpConnection::open(this->Exec, this->ServerAddress, Timeout),
        asio::use_future);
    return Opened.get().value();
  }

  std::future<Outcome<HttpReply>>
  send(const std::shared_ptr<HttpConnection> &Connection,
       const std::string &Target) {
    HttpRequest Request;
    Request.Target = Target;
    Request.Host = "test";
    return asio::co_spawn(
        this->Exec,
        [Connection, Request]() -> Awaitable<Outcome<HttpReply>> {
          co_return co_await Connection->exchange(Request, Timeout);
        },
        asio::use_future);
  }

  /// Sends a request and returns once its handler has started and waits.
  std::future<Outcome<HttpReply>>
  sendSlow(const std::shared_ptr<HttpConnection> &Connection) {
    auto Reply = this->send(Connection, "/slow");
    this->Started.get_future().wait();
    return Reply;
  }

  Endpoint ServerAddress{.Address = "127.0.0.1", .Port = 0};
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

TEST_F(HttpServerDrainTest, RequestInFlightGetsItsReply) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  auto Busy = this->open();
  auto Reply = this->sendSlow(Busy);
  this->Server->drain();
  this->Server->rejectNewRequests();
  EXPECT_EQ(this->Server->requestsInFlight(), 1U);
  this->release();
  auto Answer = Reply.get();
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer.value().Body, "done /slow");
  EXPECT_FALSE(Busy->usable());
}

TEST_F(HttpServerDrainTest, DrainServesNewConnectionsAndRejectionRefusesThem) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  this->Server->drain();
  auto Served = this->send(this->open(), "/quick").get();
  ASSERT_TRUE(Served);
  EXPECT_EQ(Served.value().Body, "done /quick");
  this->Server->rejectNewRequests();
  auto Refused = this->send(this->open(), "/quick").get();
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused.value().Status, httpStatusOf(ErrorKind::NotRun));
  EXPECT_NE(Refused.value().Body.find("\"NotRun\""), std::string::npos)
      << Refused.value().Body;
}

TEST_F(HttpServerDrainTest, RejectionClosesIdleConnections) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  auto Idle = this->open();
  ASSERT_TRUE(this->send(Idle, "/quick").get());
  EXPECT_TRUE(Idle->usable());
  this->Server->rejectNewRequests();
  EXPECT_FALSE(this->send(Idle, "/quick").get());
}

TEST_F(HttpServerDrainTest, PinnedConnectionIsStillServed) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  auto Holder = this->open();
  ASSERT_TRUE(this->send(Holder, "/begin").get());
  EXPECT_EQ(this->Server->pinnedConnections(), 1U);
  this->Server->rejectNewRequests();
  auto Commit = this->send(Holder, "/commit").get();
  ASSERT_TRUE(Commit);
  EXPECT_EQ(Commit.value().Body, "done /commit");
  EXPECT_EQ(this->Server->pinnedConnections(), 0U);
}

TEST_F(HttpServerDrainTest, AbortedRequestIsAnsweredAsOutcomeUnknown) {
  ASSERT_NO_FATAL_FAILURE(this->start());
  auto Reply = this->sendSlow(this->open());
  this->Server->abortOpenRequests();
  auto Answer = Reply.get();
  ASSERT_TRUE(Answer);
  EXPECT_NE(Answer.value().Body.find("\"OutcomeUnknown\""), std::string::npos)
      << Answer.value().Body;
}

} // namespace
} // namespace turmericpitch
