#include "drivers/ByteStream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The two sockets of a loopback connection.
struct ConnectedPair {
  explicit ConnectedPair(asio::io_context &Context)
      : Local(Context), Peer(Context) {
    tcp::acceptor Acceptor(Context, {asio::ip::address_v4::loopback(), 0});
    this->Local.connect(Acceptor.local_endpoint());
    this->Peer = Acceptor.accept();
  }

  tcp::socket Local;
  tcp::socket Peer;
};

TEST(ByteStream, DetectsConnectionClosedByPeer) {
  asio::io_context Context;
  ConnectedPair Pair(Context);
  ByteStream Open(std::move(Pair.Local));
  EXPECT_FALSE(Open.endedByPeer());

  ConnectedPair Other(Context);
  Other.Peer.close();
  Other.Local.wait(tcp::socket::wait_read);
  ByteStream Closed(std::move(Other.Local));
  EXPECT_TRUE(Closed.endedByPeer());
}

// An unread byte on an idle connection may be a stale reply to an earlier
// request, so the connection must not be reused.
TEST(ByteStream, TreatsUnexpectedBytesAsClosedByPeer) {
  asio::io_context Context;
  ConnectedPair Pair(Context);
  asio::write(Pair.Peer, asio::buffer("late", 4));
  Pair.Local.wait(tcp::socket::wait_read);
  ByteStream Stream(std::move(Pair.Local));
  EXPECT_TRUE(Stream.endedByPeer());
}

} // namespace
} // namespace turmericpitch
