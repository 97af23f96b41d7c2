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

constexpr Duration MinConnectTimeout = std::chrono::milliseconds(1);
constexpr Duration SpareConnectTimeout = std::chrono::seconds(1);

Error noConnectionFree() {
  return {.Kind = ErrorKind::NotRun,
          .Message =
              "no connection to the member became free before the deadline",
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
  this->From->release(this->LeaseId, std::move(this->Connection),
                      Now - this->Since, Now);
}

std::shared_ptr<MemberSlot> MemberPool::slotOf(const Endpoint &Member) const {
  {
    std::shared_lock Lock(this->Mutex);
    auto Found = this->Slots.find(Member);
    if (Found != this->Slots.end())
      return Found->second;
  }
  std::unique_lock Lock(this->Mutex);
  auto &Slot = this->Slots[Member];
  if (!Slot)
    Slot = std::make_shared<MemberSlot>(Member, this->Options);
  return Slot;
}

void MemberPool::setAllowance(const Endpoint &Member,
                              const ShareAllowance &Allowance) {
  this->slotOf(Member)->setAllowance(Allowance, this->Time.now());
}

void MemberPool::closeExcess(const Endpoint &Member) {
  this->slotOf(Member)->closeExcess(this->Time.now());
}

MemberLoad MemberPool::load(const Endpoint &Member) const {
  return this->slotOf(Member)->load();
}

void MemberPool::maintain(const Endpoint &Member) {
  auto Slot = this->slotOf(Member);
  if (Slot->maintain(this->Time.now()))
    this->openSpare(Slot);
}

void MemberPool::openSpare(std::shared_ptr<MemberSlot> Slot) {
  Executor Own = this->Exec;
  auto Open = [Slot, Own]() -> Awaitable<void> {
    auto Opened =
        co_await MemberConnection::open(Own, Slot->Member, SpareConnectTimeout);
    Slot->onSpareOpened(Opened ? Opened.value() : nullptr,
                        MonotonicClock().now());
  };
  asio::co_spawn(asio::make_strand(this->Exec), Open, asio::detached);
}

Awaitable<Outcome<std::shared_ptr<LeasedConnection>>>
MemberPool::acquire(Endpoint Member, Duration Timeout) {
  AdmissionRequest Request;
  Request.Class = AdmissionClass::Write;
  Request.Deadline = this->Time.now() + Timeout;
  co_return co_await this->acquire(std::move(Member), std::move(Request),
                                   Timeout);
}

Awaitable<Outcome<std::shared_ptr<LeasedConnection>>>
MemberPool::acquire(Endpoint Member, AdmissionRequest Request,
                    Duration ConnectTimeout) {
  auto CallerExec = co_await asio::this_coro::executor;
  auto Slot = this->slotOf(Member);
  ConnectionAdmission Result =
      Slot->requestConnection(Request, CallerExec, this->Time.now());
  if (Result.Shed)
    co_return std::move(*Result.Shed);
  if (Result.Waiter) {
    boost::system::error_code Ignored;
    auto Token = asio::redirect_error(asio::use_awaitable, Ignored);
    co_await Result.Waiter->Timer.async_wait(Token);
    if (Slot->cancelWait(Result.Ticket))
      co_return noConnectionFree();
    if (Result.Waiter->Shed)
      co_return std::move(*Result.Waiter->Shed);
    Result.Connection = std::move(Result.Waiter->Connection);
  }
  if (Result.Connection)
    co_return Slot->lease(std::move(Result.Connection));
  Duration Remaining =
      std::min(Duration(Request.Deadline - this->Time.now()), ConnectTimeout);
  auto Opened = co_await MemberConnection::open(
      this->Exec, Member, std::max(Remaining, MinConnectTimeout));
  if (Opened)
    co_return Slot->lease(Opened.value());
  Slot->onOpenFailed(this->Time.now());
  co_return Opened.error();
}

} // namespace turmericpitch
