#include "drivers/HttpClient.h"

namespace turmericpitch {

HttpClient::HttpClient(Executor Exec, HttpClientOptions Options)
    : Exec(std::move(Exec)), Options(std::move(Options)) {}

std::uint64_t HttpClient::calls() const {
  std::lock_guard Lock(this->Mutex);
  return this->Calls;
}

std::shared_ptr<HttpConnection> HttpClient::acquireIdle() {
  std::lock_guard Lock(this->Mutex);
  ++this->Calls;
  while (!this->Idle.empty()) {
    auto Connection = std::move(this->Idle.back());
    this->Idle.pop_back();
    if (Connection->usable())
      return Connection;
  }
  return nullptr;
}

void HttpClient::release(std::shared_ptr<HttpConnection> Connection) {
  if (!Connection->usable())
    return;
  std::lock_guard Lock(this->Mutex);
  if (this->Idle.size() < this->Options.MaxIdle)
    this->Idle.push_back(std::move(Connection));
}

void HttpClient::closeIdle() {
  std::lock_guard Lock(this->Mutex);
  for (const auto &Each : this->Idle)
    Each->close();
  this->Idle.clear();
}

Awaitable<Outcome<HttpReply>>
HttpClient::call(HttpRequest Request, Duration Timeout,
                 std::function<bool()> ShouldSend) {
  std::shared_ptr<HttpConnection> Connection = this->acquireIdle();
  // The peer may have gone without closing an idle connection. A request that
  // must be sent immediately therefore uses a new connection.
  if (ShouldSend)
    Connection.reset();
  Request.Host = toString(this->Options.Service);
  if (Connection) {
    auto Reply = co_await Connection->exchange(Request, Timeout);
    if (Reply)
      this->release(Connection);
    // NotRun means that the service had closed the idle connection before
    // anything was sent, so the request can be sent on a new one.
    if (!Reply)
      this->closeIdle();
    if (Reply || Reply.error().Kind != ErrorKind::NotRun)
      co_return Reply;
  }
  auto Opened = co_await HttpConnection::open(this->Exec, this->Options.Service,
                                              this->Options.ConnectTimeout);
  if (!Opened)
    co_return Opened.error();
  Connection = Opened.value();
  if (ShouldSend && !ShouldSend())
    co_return Error{
        .Kind = ErrorKind::NotRun,
        .Message =
            "request not sent: it was no longer valid once the connection "
            "was open",
        .Remedy = "start the operation again"};
  auto Reply = co_await Connection->exchange(std::move(Request), Timeout);
  if (Reply)
    this->release(Connection);
  else
    this->closeIdle();
  co_return Reply;
}

} // namespace turmericpitch
