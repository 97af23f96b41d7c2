// One member's connections and the statements that wait for them.
#pragma once

#include "drivers/MemberPool.h"

namespace turmericpitch {

/// A statement that waits for a connection. Protected by its slot's mutex.
struct ConnectionWaiter {
  boost::asio::steady_timer Timer;
  bool Granted = false;
  std::optional<Error> Shed = std::nullopt;
  /// Set with the grant if a connection was idle.
  std::shared_ptr<MemberConnection> Connection = nullptr;
};

/// Initial result of a statement's request for a connection: shed, queued or
/// admitted.
struct ConnectionAdmission {
  std::optional<Error> Shed;
  /// Set if the statement has to wait.
  std::shared_ptr<ConnectionWaiter> Waiter;
  AdmissionTicket Ticket;
  /// Set if the statement need not wait and a connection was idle.
  std::shared_ptr<MemberConnection> Connection;
};

/// Connections to one member and its admission queue. Thread-safe. Must be held
/// by a shared pointer.
struct MemberSlot : std::enable_shared_from_this<MemberSlot> {
  MemberSlot(Endpoint Member, const MemberPoolOptions &Options);

  void setAllowance(const ShareAllowance &Wanted, TimePoint Now);
  void closeExcess(TimePoint Now);
  /// Returns whether to open a spare connection; if so, call onSpareOpened()
  /// with the result.
  bool maintain(TimePoint Now);
  void onSpareOpened(std::shared_ptr<MemberConnection> Opened, TimePoint Now);
  ConnectionAdmission requestConnection(const AdmissionRequest &Request,
                                        const Executor &Exec, TimePoint Now);
  /// Cancels a wait whose deadline has passed; false if it was already granted
  /// or shed.
  bool cancelWait(AdmissionTicket Ticket);
  /// Call when the connection for an admitted request could not be opened.
  void onOpenFailed(TimePoint Now);
  std::shared_ptr<LeasedConnection>
  lease(std::shared_ptr<MemberConnection> Connection);
  void release(std::uint64_t LeaseId,
               std::shared_ptr<MemberConnection> Connection, Duration HeldFor,
               TimePoint Now);
  [[nodiscard]] MemberLoad load() const;

  const Endpoint Member;

private:
  // Callers of the following functions must hold Mutex.
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
