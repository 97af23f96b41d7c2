#include "drivers/BlockingClient.h"

#include "drivers/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

Awaitable<Outcome<HttpReply>> callOnce(Executor Exec, Endpoint To,
                                       HttpRequest Request, Duration Timeout,
                                       TlsContext Tls) {
  auto Opened = co_await HttpConnection::open(Exec, To, Timeout, Tls);
  if (!Opened)
    co_return Opened.error();
  std::shared_ptr<HttpConnection> Connection = Opened.value();
  co_return co_await Connection->exchange(std::move(Request), Timeout);
}

} // namespace

Outcome<HttpReply> callAndWait(const Endpoint &To, HttpRequest Request,
                               Duration Timeout, const TlsContext &Tls) {
  asio::io_context Context;
  std::optional<Outcome<HttpReply>> Reply;
  Executor Exec = Context.get_executor();
  auto Work = [&]() -> Awaitable<void> {
    Reply = co_await callOnce(Exec, To, Request, Timeout, Tls);
  };
  asio::co_spawn(Exec, Work, asio::detached);
  Context.run();
  return *Reply;
}

} // namespace turmericpitch
