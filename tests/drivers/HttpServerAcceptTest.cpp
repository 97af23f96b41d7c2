#include "drivers/HttpServer.h"

#include "tests/support/OwnAddress.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace turmericpitch {
namespace {

namespace asio = boost::asio;

// At its limit of open files the server accepted in a busy loop.
TEST(HttpServerAccept, WaitsForAFreeDescriptor) {
  asio::io_context Loop;
  HttpServer Server(Loop.get_executor(),
                    {.Listen = {.Address = ownAddress(), .Port = 0}}, [] {
                      return [](HttpRequest) -> Awaitable<HttpReply> {
                        co_return HttpReply{};
                      };
                    });
  ASSERT_TRUE(Server.start());
  Loop.poll();
  asio::ip::tcp::socket Waiting(Loop);
  Waiting.connect({asio::ip::make_address(ownAddress()), Server.port()});
  // The next descriptor is the lowest that is free.
  int Lowest = dup(STDERR_FILENO);
  close(Lowest);
  rlimit Former{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &Former), 0);
  rlimit Full{.rlim_cur = static_cast<rlim_t>(Lowest),
              .rlim_max = Former.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &Full), 0);
  int Handlers = 0;
  while (Handlers < 1000 && Loop.poll_one() > 0)
    ++Handlers;
  EXPECT_LT(Handlers, 1000);
  EXPECT_EQ(Server.connections(), 0U);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &Former), 0);
  while (Server.connections() == 0)
    Loop.run_one();
  Server.close();
  Loop.poll();
}

} // namespace
} // namespace turmericpitch
