#include "tests/platform/StoreDoor.h"

#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

StoreDoor::StoreDoor(Executor Exec, Endpoint Listen, RevisionStore &Store)
    : Exec(Exec), Store(Store),
      Server(Exec, {.Listen = std::move(Listen)}, [this] {
        return [this, Opened = this->Generation](HttpRequest Request) {
          return this->handle(std::move(Request), Opened);
        };
      }) {}

Status StoreDoor::start() { return this->Server.start(); }

Awaitable<HttpReply> StoreDoor::handle(HttpRequest Request,
                                       std::uint64_t Opened) {
  if (Request.Target.starts_with("/api/kv-keep/"))
    ++this->Renewals;
  if (Request.Target.find("prefix=turmericpitch/primary/") != std::string::npos)
    ++this->RecordListings;
  HttpReply Reply;
  constexpr unsigned ServiceUnavailable = 503;
  if (this->Unavailable) {
    ++this->Refusals;
    Reply.Status = ServiceUnavailable;
    Reply.Body = "{}";
    co_return Reply;
  }
  if (!this->Silent && Opened == this->Generation)
    Reply = co_await this->Store.handle(std::move(Request));
  if (!this->Silent && Opened == this->Generation)
    co_return Reply;
  boost::asio::steady_timer Never(this->Exec,
                                  boost::asio::steady_timer::time_point::max());
  co_await Never.async_wait(boost::asio::use_awaitable);
  co_return Reply;
}

} // namespace turmericpitch
