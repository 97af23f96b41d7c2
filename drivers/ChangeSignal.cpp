#include "drivers/ChangeSignal.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

std::uint64_t ChangeSignal::generation() const {
  std::lock_guard Lock(this->Mutex);
  return this->Generation;
}

void ChangeSignal::notify() {
  std::vector<std::shared_ptr<Timer>> Timers;
  {
    std::lock_guard Lock(this->Mutex);
    ++this->Generation;
    Timers.swap(this->WaitingTimers);
  }
  for (const auto &Waiter : Timers)
    asio::dispatch(Waiter->get_executor(), [Waiter] { Waiter->cancel(); });
}

Awaitable<void> ChangeSignal::wait(std::uint64_t Seen, Duration Timeout) {
  auto Exec = co_await asio::this_coro::executor;
  auto WakeTimer = std::make_shared<Timer>(Exec, Timeout);
  {
    std::lock_guard Lock(this->Mutex);
    if (this->Generation != Seen)
      co_return;
    this->WaitingTimers.push_back(WakeTimer);
  }
  boost::system::error_code Ignored;
  auto Token = asio::redirect_error(asio::use_awaitable, Ignored);
  co_await WakeTimer->async_wait(Token);
  std::lock_guard Lock(this->Mutex);
  std::erase(this->WaitingTimers, WakeTimer);
}

Awaitable<void> sleepFor(Duration Length) {
  auto Exec = co_await asio::this_coro::executor;
  asio::steady_timer WakeTimer(Exec, Length);
  boost::system::error_code Ignored;
  auto Token = asio::redirect_error(asio::use_awaitable, Ignored);
  co_await WakeTimer.async_wait(Token);
}

} // namespace turmericpitch
