#include "drivers/ByteStream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Both ends of one loopback connection.
struct ConnectedPair {
  explicit ConnectedPair(asio::io_context &Context)
      : Near(Context), Far(Context) {
    tcp::acceptor Acceptor(Context, {asio::ip::address_v4::loopback(), 0});
    this->Near.connect(Acceptor.local_endpoint());
    this->Far = Acceptor.accept();
  }

  tcp::socket Near;
  tcp::socket Far;
};

TEST(ByteStream, TellsAnOpenConnectionFromAnEndedOne) {
  asio::io_context Context;
  ConnectedPair Pair(Context);
  ByteStream Open(std::move(Pair.Near));
  EXPECT_FALSE(Open.endedByPeer());

  ConnectedPair Other(Context);
  Other.Far.close();
  Other.Near.wait(tcp::socket::wait_read);
  ByteStream Ended(std::move(Other.Near));
  EXPECT_TRUE(Ended.endedByPeer());
}

TEST(ByteStream, TrustsNoConnectionWithUnaskedBytes) {
  asio::io_context Context;
  ConnectedPair Pair(Context);
  asio::write(Pair.Far, asio::buffer("late", 4));
  Pair.Near.wait(tcp::socket::wait_read);
  ByteStream Late(std::move(Pair.Near));
  EXPECT_TRUE(Late.endedByPeer());
}

} // namespace
} // namespace turmericpitch
