// Database members that speak the users' line protocol, on loopback.
#pragma once

#include "core/Endpoint.h"
#include "core/LogPosition.h"
#include "drivers/LineConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericpitch {

/// One member's faults and state; changed by the group's owner.
struct SessionGroupMember {
  std::string Id;
  Endpoint Where;
  bool Primary = false;
  /// Takes no entries from the primary.
  bool ReplicationPaused = false;
  /// Accepts no connections, and ends those it has.
  bool Down = false;
  /// The newest term that it knows of.
  std::uint64_t Term = 1;
  /// The entries of its log: the term that wrote each, the item and its data.
  struct Entry {
    std::uint64_t Term = 1;
    std::string Item;
    std::string Data;
  };
  std::vector<Entry> Log;
};

/// A primary and its replicas. Belongs to one thread's executor.
class SessionGroup {
public:
  SessionGroup(boost::asio::any_io_executor On, std::string Service);
  ~SessionGroup();
  SessionGroup(const SessionGroup &) = delete;
  SessionGroup &operator=(const SessionGroup &) = delete;

  /// Adds a member that listens on a loopback address; the first one leads.
  /// Errors: Unavailable if the address can't be bound.
  Status add(const std::string &Id, const Endpoint &Where);
  /// Makes a member lead the next term; false if it is down or unknown.
  bool promote(const std::string &Id);
  void stop(const std::string &Id);
  void setReplicationPaused(const std::string &Id, bool ReplicationPaused);

  [[nodiscard]] const std::string &service() const { return this->Service; }
  [[nodiscard]] std::vector<SessionGroupMember> members() const;
  /// How often a write of this statement id is in the primary's log.
  [[nodiscard]] std::size_t commitCount(const std::string &StatementId) const;

private:
  struct Member;
  struct Connection;

  void accept(const std::shared_ptr<Member> &At);
  void onLine(const std::shared_ptr<Connection> &From, std::string_view Line);
  std::string answer(Connection &From, const std::string &Id, std::string Text);
  std::string run(Connection &From, const std::string &Id,
                  const std::string &Text);
  void append(Member &At, const std::string &Id, const std::string &Item,
              const std::string &Data);

  boost::asio::any_io_executor On;
  std::string Service;
  std::map<std::string, std::shared_ptr<Member>> Members;
  /// Statement ids of committed writes.
  std::multiset<std::string> Committed;
};

} // namespace turmericpitch
