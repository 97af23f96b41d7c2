// Pool of connections to database members, with a limit for each member.
#pragma once

#include "core/Identifiers.h"
#include "drivers/ChangeSignal.h"
#include "drivers/MemberClient.h"
#include "limits/Admission.h"
#include "limits/ConnectionShares.h"
#include "limits/SpareConnections.h"

#include <map>
#include <mutex>
#include <shared_mutex>

namespace turmericpitch {

class MemberPool;
struct MemberSlot;

/// A connection for the holder's exclusive use. On destruction it returns to
/// the pool if it is still usable and is closed otherwise. Not thread-safe.
class LeasedConnection {
public:
  LeasedConnection(std::shared_ptr<MemberSlot> From, std::uint64_t LeaseId,
                   std::shared_ptr<MemberConnection> Connection);
  ~LeasedConnection();
  LeasedConnection(const LeasedConnection &) = delete;
  LeasedConnection &operator=(const LeasedConnection &) = delete;

  MemberConnection &operator*() { return *this->Connection; }
  MemberConnection *operator->() { return this->Connection.get(); }

private:
  std::shared_ptr<MemberSlot> From;
  std::uint64_t LeaseId;
  std::shared_ptr<MemberConnection> Connection;
  TimePoint Since;
};

struct MemberPoolOptions {
  /// Connection limit of a member for which no allowance has been set.
  std::uint32_t DefaultLimit = 1;
  AdmissionOptions Queue;
  SpareConnectionsOptions Spares;
};

/// Current numbers of one member's connections and waiting statements.
struct MemberLoad {
  std::size_t InUse = 0;
  std::size_t Waiting = 0;
  /// Connections that are idle, in use or being opened.
  std::size_t Open = 0;

  bool operator==(const MemberLoad &) const = default;
};

/// Thread-safe; each member has its own lock.
class MemberPool {
public:
  MemberPool(Executor Exec, MemberPoolOptions Options)
      : Exec(std::move(Exec)), Options(Options) {}

  /// Sets how many connections to a member may be open. Excess connections
  /// are closed at once if idle, otherwise when they are released.
  void setAllowance(const Endpoint &Member, const ShareAllowance &Allowance);
  /// Closes connections in use above the allowance, newest first. Requests on
  /// them fail as after a lost connection.
  void closeExcess(const Endpoint &Member);
  /// Sheds requests that can't be served in time and opens spare connections.
  /// Call at regular intervals.
  void maintain(const Endpoint &Member);

  /// Acquires a connection to a member, in the order of the admission queue.
  /// If one has to be opened, this takes at most ConnectTimeout. Errors:
  /// Overloaded if the request was shed, NotRun if no connection became free by
  /// the deadline, Unavailable if the member can't be reached. Precondition:
  /// the awaiting coroutine runs on a strand or on a single-threaded executor.
  Awaitable<Outcome<std::shared_ptr<LeasedConnection>>>
  acquire(Endpoint Member, AdmissionRequest Request, Duration ConnectTimeout);
  /// Acquires a connection for a request that belongs to no client account;
  /// Timeout sets the deadline.
  Awaitable<Outcome<std::shared_ptr<LeasedConnection>>>
  acquire(Endpoint Member, Duration Timeout);
  [[nodiscard]] MemberLoad load(const Endpoint &Member) const;

private:
  [[nodiscard]] std::shared_ptr<MemberSlot>
  slotOf(const Endpoint &Member) const;
  void openSpare(std::shared_ptr<MemberSlot> Slot);

  Executor Exec;
  MemberPoolOptions Options;
  mutable std::shared_mutex Mutex;
  mutable std::map<Endpoint, std::shared_ptr<MemberSlot>> Slots;
  MonotonicClock Time;
};

} // namespace turmericpitch
