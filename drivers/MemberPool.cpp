#include "drivers/MemberPool.h"

namespace turmericpitch {

namespace {

Error noneFree() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "no connection to the member came free in time",
          .Remedy = "send it again shortly",
          .RetryAfter = std::chrono::seconds(1)};
}

} // namespace

LeasedConnection::LeasedConnection(std::shared_ptr<MemberPool> Pool,
                                   Endpoint To,
                                   std::shared_ptr<MemberConnection> Connection)
    : Pool(std::move(Pool)), To(std::move(To)),
      Connection(std::move(Connection)) {}

LeasedConnection::~LeasedConnection() {
  if (this->Connection)
    this->Pool->giveBack(this->To, std::move(this->Connection));
}

MemberPool::Slot &MemberPool::slotOf(const Endpoint &To) {
  auto [At, Fresh] = this->Slots.try_emplace(To);
  if (Fresh)
    At->second.Limit = this->DefaultLimit;
  return At->second;
}

void MemberPool::setLimit(const Endpoint &To, std::size_t Limit) {
  {
    std::lock_guard Lock(this->Guard);
    this->slotOf(To).Limit = Limit;
  }
  this->Freed.notify();
}

std::size_t MemberPool::open(const Endpoint &To) const {
  std::lock_guard Lock(this->Guard);
  auto Found = this->Slots.find(To);
  return Found == this->Slots.end() ? 0 : Found->second.Open;
}

void MemberPool::giveBack(const Endpoint &To,
                          std::shared_ptr<MemberConnection> Connection) {
  {
    std::lock_guard Lock(this->Guard);
    Slot &S = this->slotOf(To);
    if (Connection->usable() && S.Open <= S.Limit)
      S.Idle.push_back(std::move(Connection));
    else
      --S.Open;
  }
  this->Freed.notify();
}

Awaitable<Outcome<std::shared_ptr<LeasedConnection>>>
MemberPool::acquire(Endpoint To, Duration Limit) {
  auto Self = this->shared_from_this();
  MonotonicClock Time;
  TimePoint Until = Time.now() + Limit;
  while (true) {
    std::uint64_t Seen = this->Freed.generation();
    bool MayOpen = false;
    {
      std::lock_guard Lock(this->Guard);
      Slot &S = this->slotOf(To);
      while (!S.Idle.empty()) {
        auto Connection = std::move(S.Idle.back());
        S.Idle.pop_back();
        if (Connection->usable())
          co_return std::make_shared<LeasedConnection>(Self, To,
                                                       std::move(Connection));
        --S.Open;
      }
      MayOpen = S.Open < S.Limit;
      if (MayOpen)
        ++S.Open;
    }
    TimePoint Now = Time.now();
    if (MayOpen) {
      auto Opened = co_await MemberConnection::open(
          this->On, To, std::max(Duration(Until - Now), Duration(1000)));
      if (Opened)
        co_return std::make_shared<LeasedConnection>(Self, To, Opened.value());
      {
        std::lock_guard Lock(this->Guard);
        --this->slotOf(To).Open;
      }
      this->Freed.notify();
      co_return Opened.error();
    }
    if (Now >= Until)
      co_return noneFree();
    co_await this->Freed.wait(Seen, Until - Now);
  }
}

} // namespace turmericpitch
