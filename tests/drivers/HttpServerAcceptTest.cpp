#include "drivers/HttpServer.h"

#include "tests/support/AcceptFailures.h"
#include "tests/support/OwnAddress.h"

#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <gtest/gtest.h>

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
  {
    AcceptFailures NoDescriptors(EMFILE);
    int Handlers = 0;
    while (Handlers < 1000 && Loop.poll_one() > 0)
      ++Handlers;
    EXPECT_EQ(NoDescriptors.count(), 1U);
    EXPECT_EQ(Server.connections(), 0U);
  }
  while (Server.connections() == 0)
    Loop.run_one();
  Server.close();
  Loop.poll();
}

} // namespace
} // namespace turmericpitch
