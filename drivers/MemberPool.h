// Connections to database members, bounded for each member.
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

/// A connection that is the holder's alone. Given back on destruction if
/// still usable, else closed. Not thread-safe.
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
  /// Connections to a member for which no allowance has been set.
  std::uint32_t DefaultLimit = 1;
  AdmissionOptions Queue;
  SpareConnectionsOptions Spares;
};

/// One member's connections at present.
struct MemberLoad {
  std::size_t InUse = 0;
  std::size_t Waiting = 0;
  /// Idle, in use and being opened.
  std::size_t Open = 0;

  bool operator==(const MemberLoad &) const = default;
};

/// Thread-safe; each member has its own lock.
class MemberPool {
public:
  MemberPool(Executor Exec, MemberPoolOptions Options)
      : Exec(std::move(Exec)), Options(Options) {}

  /// Sets how many connections to a member may be open. Idle ones above it
  /// close at once, others as they are given back.
  void setAllowance(const Endpoint &Member, const ShareAllowance &Allowance);
  /// Closes connections in use above the allowance, newest first; work on
  /// them ends as a lost connection does.
  void closeExcess(const Endpoint &Member);
  /// Sheds what can't be served in time and keeps spares open; call in
  /// regular intervals.
  void maintain(const Endpoint &Member);

  /// A connection to a member, in the queue's order; one that has to be
  /// opened takes at most ConnectLimit. Errors: Overloaded if
  /// it was shed, NotRun if none came free by the deadline, Unavailable if
  /// the member can't be reached. Precondition: the awaiting coroutine runs
  /// on a strand or on a single-threaded executor.
  Awaitable<Outcome<std::shared_ptr<LeasedConnection>>>
  acquire(Endpoint Member, AdmissionRequest Request, Duration ConnectTimeout);
  /// The same for work of no client account.
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
