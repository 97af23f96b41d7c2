// Connections to database members, bounded for each member.
#pragma once

#include "core/Identifiers.h"
#include "drivers/ChangeSignal.h"
#include "drivers/MemberClient.h"

#include <map>
#include <mutex>

namespace turmericpitch {

class MemberPool;

/// A connection that is the holder's alone. Given back on destruction if
/// still usable, else closed. Movable; not thread-safe.
class LeasedConnection {
public:
  LeasedConnection(std::shared_ptr<MemberPool> Pool, Endpoint To,
                   std::shared_ptr<MemberConnection> Connection);
  ~LeasedConnection();
  LeasedConnection(LeasedConnection &&) = default;
  LeasedConnection &operator=(LeasedConnection &&) = delete;

  MemberConnection &operator*() { return *this->Connection; }
  MemberConnection *operator->() { return this->Connection.get(); }

private:
  std::shared_ptr<MemberPool> Pool;
  Endpoint To;
  std::shared_ptr<MemberConnection> Connection;
};

/// Thread-safe. Must be held by a shared pointer.
class MemberPool : public std::enable_shared_from_this<MemberPool> {
public:
  MemberPool(Executor On, std::size_t DefaultLimit)
      : On(std::move(On)), DefaultLimit(DefaultLimit) {}

  /// Sets how many connections to a member may be open; those above the
  /// limit close as they are given back.
  void setLimit(const Endpoint &To, std::size_t Limit);
  /// A connection to a member. Errors: NotRun when none came free within
  /// Limit or the member can't be reached.
  Awaitable<Outcome<std::shared_ptr<LeasedConnection>>> acquire(Endpoint To,
                                                                Duration Limit);
  [[nodiscard]] std::size_t open(const Endpoint &To) const;

private:
  friend class LeasedConnection;
  struct Slot {
    std::size_t Limit = 0;
    std::size_t Open = 0;
    std::vector<std::shared_ptr<MemberConnection>> Idle;
  };

  void giveBack(const Endpoint &To,
                std::shared_ptr<MemberConnection> Connection);
  Slot &slotOf(const Endpoint &To);

  Executor On;
  std::size_t DefaultLimit;
  mutable std::mutex Guard;
  std::map<Endpoint, Slot> Slots;
  ChangeSignal Freed;
};

} // namespace turmericpitch
