// One member's connections and the statements that wait for them.
#pragma once

#include "drivers/MemberPool.h"

namespace turmericpitch {

/// A statement that waits for a connection. Guarded by its slot's lock.
struct ConnectionWaiter {
  boost::asio::steady_timer Timer;
  bool Granted = false;
  std::optional<Error> Shed = std::nullopt;
  /// Comes with the grant if one was idle.
  std::shared_ptr<MemberConnection> Connection = nullptr;
};

/// What a statement that wants a connection is told at first.
struct ConnectionAdmission {
  std::optional<Error> Shed;
  /// Set if the statement has to wait.
  std::shared_ptr<ConnectionWaiter> Waiter;
  AdmissionTicket Ticket;
  /// Set if it need not wait and one was idle.
  std::shared_ptr<MemberConnection> Connection;
};

/// Thread-safe. Must be held by a shared pointer.
struct MemberSlot : std::enable_shared_from_this<MemberSlot> {
  MemberSlot(Endpoint Member, const MemberPoolOptions &Options);

  void setAllowance(const ShareAllowance &Wanted, TimePoint Now);
  void closeExcess(TimePoint Now);
  /// Returns whether a spare should be opened; then call onSpare().
  bool maintain(TimePoint Now);
  void onSpareOpened(std::shared_ptr<MemberConnection> Opened, TimePoint Now);
  ConnectionAdmission requestConnection(const AdmissionRequest &Request,
                                        const Executor &Exec, TimePoint Now);
  /// Ends a wait whose deadline has passed; false if it was granted or shed.
  bool cancelWait(AdmissionTicket Ticket);
  /// A granted connection could not be opened.
  void onOpenFailed(TimePoint Now);
  std::shared_ptr<LeasedConnection>
  lease(std::shared_ptr<MemberConnection> Connection);
  void release(std::uint64_t LeaseId,
               std::shared_ptr<MemberConnection> Connection, Duration HeldFor,
               TimePoint Now);
  [[nodiscard]] MemberLoad load() const;

  const Endpoint Member;

private:
  // All of these need the lock.
  [[nodiscard]] std::size_t usable(TimePoint Now) const;
  [[nodiscard]] std::size_t open() const;
  void trim(TimePoint Now);
  std::shared_ptr<MemberConnection> takeIdle();
  void resumeWaiters(const std::vector<AdmissionChange> &Changes);

  mutable std::mutex Mutex;
  Admission AdmissionQueue;
  SpareConnections Spares;
  ShareAllowance Allowance;
  std::vector<std::shared_ptr<MemberConnection>> Idle;
  std::map<std::uint64_t, std::weak_ptr<MemberConnection>> Leased;
  std::map<AdmissionTicket, std::shared_ptr<ConnectionWaiter>> Waiting;
  std::size_t SparesOpening = 0;
  std::uint64_t NextLease = 1;
};

} // namespace turmericpitch
