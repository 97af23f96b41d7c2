#include "drivers/HttpCaller.h"

namespace turmericpitch {

HttpCaller::HttpCaller(Executor Exec, HttpCallerOptions Options)
    : Exec(std::move(Exec)), Options(std::move(Options)) {}

std::uint64_t HttpCaller::calls() const {
  std::lock_guard Lock(this->Mutex);
  return this->Calls;
}

std::shared_ptr<HttpConnection> HttpCaller::takeIdle() {
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

void HttpCaller::giveBack(std::shared_ptr<HttpConnection> Connection) {
  if (!Connection->usable())
    return;
  std::lock_guard Lock(this->Mutex);
  if (this->Idle.size() < this->Options.MaxIdle)
    this->Idle.push_back(std::move(Connection));
}

Awaitable<Outcome<HttpReply>>
HttpCaller::call(HttpRequest Request, Duration Timeout,
                 std::function<bool()> StillWanted) {
  std::shared_ptr<HttpConnection> Connection = this->takeIdle();
  // A kept connection may have gone silent; what must go at once doesn't
  // take the risk.
  if (StillWanted)
    Connection.reset();
  Request.Host = toString(this->Options.Service);
  if (Connection) {
    auto Reply = co_await Connection->exchange(Request, Timeout);
    if (Reply)
      this->giveBack(Connection);
    // A kept connection that the service has ended took nothing.
    if (Reply || Reply.error().Kind != ErrorKind::NotRun)
      co_return Reply;
  }
  auto Opened = co_await HttpConnection::open(this->Exec, this->Options.Service,
                                              this->Options.ConnectTimeout);
  if (!Opened)
    co_return Opened.error();
  Connection = Opened.value();
  if (StillWanted && !StillWanted())
    co_return Error{.Kind = ErrorKind::NotRun,
                    .Message = "too late to send the request",
                    .Remedy = "begin anew"};
  auto Reply = co_await Connection->exchange(std::move(Request), Timeout);
  if (Reply)
    this->giveBack(Connection);
  co_return Reply;
}

} // namespace turmericpitch
