#include "drivers/MemberPool.h"

#include "drivers/MemberSlot.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration LeastConnectLimit = std::chrono::milliseconds(1);
constexpr Duration SpareConnectLimit = std::chrono::seconds(1);

Error noneFree() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "no connection to the member came free in time",
          .Remedy = "send it again shortly",
          .RetryAfter = std::chrono::seconds(1)};
}

} // namespace

LeasedConnection::LeasedConnection(std::shared_ptr<MemberSlot> From,
                                   std::uint64_t LeaseId,
                                   std::shared_ptr<MemberConnection> Connection)
    : From(std::move(From)), LeaseId(LeaseId),
      Connection(std::move(Connection)), Since(MonotonicClock().now()) {}

LeasedConnection::~LeasedConnection() {
  TimePoint Now = MonotonicClock().now();
  this->From->giveBack(this->LeaseId, std::move(this->Connection),
                       Now - this->Since, Now);
}

std::shared_ptr<MemberSlot> MemberPool::slotOf(const Endpoint &To) const {
  {
    std::shared_lock Lock(this->Guard);
    auto Found = this->Slots.find(To);
    if (Found != this->Slots.end())
      return Found->second;
  }
  std::unique_lock Lock(this->Guard);
  auto &Slot = this->Slots[To];
  if (!Slot)
    Slot = std::make_shared<MemberSlot>(To, this->Options);
  return Slot;
}

void MemberPool::setAllowance(const Endpoint &To,
                              const ShareAllowance &Allowance) {
  this->slotOf(To)->setAllowance(Allowance, this->Time.now());
}

void MemberPool::closeExcess(const Endpoint &To) {
  this->slotOf(To)->closeExcess(this->Time.now());
}

MemberLoad MemberPool::load(const Endpoint &To) const {
  return this->slotOf(To)->load();
}

void MemberPool::maintain(const Endpoint &To) {
  auto Slot = this->slotOf(To);
  if (Slot->maintain(this->Time.now()))
    this->openSpare(Slot);
}

void MemberPool::openSpare(std::shared_ptr<MemberSlot> Slot) {
  Executor Own = this->On;
  auto Open = [Slot, Own]() -> Awaitable<void> {
    auto Opened =
        co_await MemberConnection::open(Own, Slot->To, SpareConnectLimit);
    Slot->onSpare(Opened ? Opened.value() : nullptr, MonotonicClock().now());
  };
  asio::co_spawn(asio::make_strand(this->On), Open, asio::detached);
}

Awaitable<Outcome<std::shared_ptr<LeasedConnection>>>
MemberPool::acquire(Endpoint To, Duration Limit) {
  AdmissionRequest Request;
  Request.Class = AdmissionClass::Write;
  Request.Deadline = this->Time.now() + Limit;
  co_return co_await this->acquire(std::move(To), std::move(Request), Limit);
}

Awaitable<Outcome<std::shared_ptr<LeasedConnection>>>
MemberPool::acquire(Endpoint To, AdmissionRequest Request,
                    Duration ConnectLimit) {
  auto Here = co_await asio::this_coro::executor;
  auto Slot = this->slotOf(To);
  ConnectionTurn Turn = Slot->arrive(Request, Here, this->Time.now());
  if (Turn.Shed)
    co_return std::move(*Turn.Shed);
  if (Turn.Waiter) {
    boost::system::error_code Ignored;
    auto Token = asio::redirect_error(asio::use_awaitable, Ignored);
    co_await Turn.Waiter->Alarm.async_wait(Token);
    if (Slot->giveUp(Turn.Ticket))
      co_return noneFree();
    if (Turn.Waiter->Shed)
      co_return std::move(*Turn.Waiter->Shed);
    Turn.Connection = std::move(Turn.Waiter->Connection);
  }
  if (Turn.Connection)
    co_return Slot->lease(std::move(Turn.Connection));
  Duration Left =
      std::min(Duration(Request.Deadline - this->Time.now()), ConnectLimit);
  auto Opened = co_await MemberConnection::open(
      this->On, To, std::max(Left, LeastConnectLimit));
  if (Opened)
    co_return Slot->lease(Opened.value());
  Slot->onOpenFailed(this->Time.now());
  co_return Opened.error();
}

} // namespace turmericpitch
