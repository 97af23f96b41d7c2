#include "drivers/ChangeSignal.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

std::uint64_t ChangeSignal::generation() const {
  std::lock_guard Lock(this->Guard);
  return this->Generation;
}

void ChangeSignal::notify() {
  std::vector<std::shared_ptr<Timer>> Woken;
  {
    std::lock_guard Lock(this->Guard);
    ++this->Generation;
    Woken.swap(this->Waiting);
  }
  for (const auto &Each : Woken)
    asio::dispatch(Each->get_executor(), [Each] { Each->cancel(); });
}

Awaitable<void> ChangeSignal::wait(std::uint64_t Seen, Duration Limit) {
  auto On = co_await asio::this_coro::executor;
  auto Alarm = std::make_shared<Timer>(On, Limit);
  {
    std::lock_guard Lock(this->Guard);
    if (this->Generation != Seen)
      co_return;
    this->Waiting.push_back(Alarm);
  }
  boost::system::error_code Ignored;
  auto Token = asio::redirect_error(asio::use_awaitable, Ignored);
  co_await Alarm->async_wait(Token);
  std::lock_guard Lock(this->Guard);
  std::erase(this->Waiting, Alarm);
}

Awaitable<void> sleepFor(Duration Length) {
  auto On = co_await asio::this_coro::executor;
  asio::steady_timer Alarm(On, Length);
  boost::system::error_code Ignored;
  auto Token = asio::redirect_error(asio::use_awaitable, Ignored);
  co_await Alarm.async_wait(Token);
}

} // namespace turmericpitch
