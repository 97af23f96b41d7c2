#include "drivers/MemberSlot.h"

#include <boost/asio/dispatch.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

MemberSlot::MemberSlot(Endpoint Where, const MemberPoolOptions &Options)
    : Member(std::move(Where)), AdmissionQueue(Options.Queue),
      Spares(Options.Spares), Allowance{.Usable = Options.DefaultLimit,
                                        .ValidUntil = TimePoint::max(),
                                        .UsableAfterExpiry =
                                            Options.DefaultLimit} {
  this->AdmissionQueue.setCapacity(Options.DefaultLimit, TimePoint{});
}

std::size_t MemberSlot::usable(TimePoint Now) const {
  // Checked on each use: a process that was paused may have missed the expiry
  // of borrowed shares.
  return Now < this->Allowance.ValidUntil ? this->Allowance.Usable
                                          : this->Allowance.UsableAfterExpiry;
}

std::size_t MemberSlot::open() const {
  return this->AdmissionQueue.inUse() + this->Idle.size() + this->SparesOpening;
}

void MemberSlot::trim(TimePoint Now) {
  std::size_t Usable = this->usable(Now);
  while (!this->Idle.empty() && this->open() > Usable)
    this->Idle.pop_back();
  std::size_t ForStatements =
      Usable > this->SparesOpening ? Usable - this->SparesOpening : 0;
  this->resumeWaiters(this->AdmissionQueue.setCapacity(ForStatements, Now));
}

void MemberSlot::setAllowance(const ShareAllowance &Wanted, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->Allowance = Wanted;
  this->trim(Now);
}

void MemberSlot::closeExcess(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  std::size_t Usable = this->usable(Now);
  std::size_t Excess =
      this->open() > Usable ? this->open() - Usable : std::size_t{0};
  for (auto At = this->Leased.rbegin(); At != this->Leased.rend(); ++At) {
    if (Excess == 0)
      return;
    auto Connection = At->second.lock();
    if (!Connection)
      continue;
    Connection->close();
    --Excess;
  }
}

bool MemberSlot::maintain(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->trim(Now);
  this->resumeWaiters(this->AdmissionQueue.shedExpired(Now));
  ConnectionCounts Counts{.Idle = this->Idle.size(),
                          .Open = this->open(),
                          .Usable = this->usable(Now)};
  if (!this->Spares.shouldOpen(Counts, Now))
    return false;
  ++this->SparesOpening;
  this->trim(Now);
  return true;
}

void MemberSlot::onSpareOpened(std::shared_ptr<MemberConnection> Opened,
                               TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  --this->SparesOpening;
  this->Spares.onOpened(Opened != nullptr, Now);
  if (Opened && this->open() < this->usable(Now))
    this->Idle.push_back(std::move(Opened));
  this->trim(Now);
}

std::shared_ptr<MemberConnection> MemberSlot::takeIdle() {
  while (!this->Idle.empty()) {
    auto Connection = std::move(this->Idle.back());
    this->Idle.pop_back();
    if (Connection->usable())
      return Connection;
  }
  return nullptr;
}

ConnectionAdmission
MemberSlot::requestConnection(const AdmissionRequest &Request,
                              const Executor &Exec, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->trim(Now);
  ConnectionAdmission Result;
  AdmissionDecision Decision = this->AdmissionQueue.admit(Request, Now);
  if (auto *Shed = std::get_if<Error>(&Decision)) {
    Result.Shed = std::move(*Shed);
  } else if (auto *Later = std::get_if<AdmissionQueued>(&Decision)) {
    Result.Ticket = Later->Ticket;
    Result.Waiter = std::make_shared<ConnectionWaiter>(ConnectionWaiter{
        .Timer = asio::steady_timer(Exec, Request.Deadline - Now)});
    this->Waiting.emplace(Result.Ticket, Result.Waiter);
  } else {
    Result.Connection = this->takeIdle();
  }
  return Result;
}

void MemberSlot::resumeWaiters(const std::vector<AdmissionChange> &Changes) {
  for (const AdmissionChange &Each : Changes) {
    auto Found = this->Waiting.find(Each.Ticket);
    auto Waiter = Found->second;
    this->Waiting.erase(Found);
    Waiter->Granted = !Each.Shed;
    Waiter->Shed = Each.Shed;
    if (Waiter->Granted)
      Waiter->Connection = this->takeIdle();
    asio::dispatch(Waiter->Timer.get_executor(),
                   [Waiter] { Waiter->Timer.cancel(); });
  }
}

bool MemberSlot::cancelWait(AdmissionTicket Ticket) {
  std::lock_guard Lock(this->Mutex);
  this->Waiting.erase(Ticket);
  return this->AdmissionQueue.cancel(Ticket);
}

void MemberSlot::onOpenFailed(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->resumeWaiters(this->AdmissionQueue.onUnused(Now));
}

std::shared_ptr<LeasedConnection>
MemberSlot::lease(std::shared_ptr<MemberConnection> Connection) {
  std::lock_guard Lock(this->Mutex);
  std::uint64_t Id = this->NextLease++;
  this->Leased.emplace(Id, Connection);
  return std::make_shared<LeasedConnection>(this->shared_from_this(), Id,
                                            std::move(Connection));
}

void MemberSlot::release(std::uint64_t LeaseId,
                         std::shared_ptr<MemberConnection> Connection,
                         Duration HeldFor, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->Leased.erase(LeaseId);
  // The admission queue still counts this connection as in use until
  // onReleased() below.
  if (Connection->usable() && this->open() <= this->usable(Now))
    this->Idle.push_back(std::move(Connection));
  this->resumeWaiters(this->AdmissionQueue.onReleased(HeldFor, Now));
}

MemberLoad MemberSlot::load() const {
  std::lock_guard Lock(this->Mutex);
  return {.InUse = this->AdmissionQueue.inUse(),
          .Waiting = this->AdmissionQueue.waiting(),
          .Open = this->open()};
}

} // namespace turmericpitch
