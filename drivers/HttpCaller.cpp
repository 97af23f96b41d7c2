#include "drivers/HttpCaller.h"

namespace turmericpitch {

HttpCaller::HttpCaller(Executor On, HttpCallerOptions Options)
    : On(std::move(On)), Options(std::move(Options)) {}

std::uint64_t HttpCaller::calls() const {
  std::lock_guard Lock(this->Guard);
  return this->Calls;
}

std::shared_ptr<HttpConnection> HttpCaller::takeIdle() {
  std::lock_guard Lock(this->Guard);
  ++this->Calls;
  while (!this->Idle.empty()) {
    auto Connection = std::move(this->Idle.back());
    this->Idle.pop_back();
    if (Connection->usable())
      return Connection;
  }
  return nullptr;
}

void HttpCaller::giveBack(std::shared_ptr<HttpConnection> Connection) {
  if (!Connection->usable())
    return;
  std::lock_guard Lock(this->Guard);
  if (this->Idle.size() < this->Options.MostIdle)
    this->Idle.push_back(std::move(Connection));
}

Awaitable<Outcome<HttpReply>>
HttpCaller::call(HttpRequest Request, Duration Limit,
                 std::function<bool()> StillWanted) {
  std::shared_ptr<HttpConnection> Connection = this->takeIdle();
  // A kept connection may have gone silent; what must go at once doesn't
  // take the risk.
  if (StillWanted)
    Connection.reset();
  Request.Host = toString(this->Options.Service);
  if (Connection) {
    auto Reply = co_await Connection->exchange(Request, Limit);
    if (Reply)
      this->giveBack(Connection);
    // A kept connection that the service has ended took nothing.
    if (Reply || Reply.error().Kind != ErrorKind::NotRun)
      co_return Reply;
  }
  auto Opened = co_await HttpConnection::open(this->On, this->Options.Service,
                                              this->Options.ConnectLimit);
  if (!Opened)
    co_return Opened.error();
  Connection = Opened.value();
  if (StillWanted && !StillWanted())
    co_return Error{.Kind = ErrorKind::NotRun,
                    .Message = "too late to send the request",
                    .Remedy = "begin anew"};
  auto Reply = co_await Connection->exchange(std::move(Request), Limit);
  if (Reply)
    this->giveBack(Connection);
  co_return Reply;
}

} // namespace turmericpitch
