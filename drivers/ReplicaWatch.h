// Asks one replica for its log over a connection that is kept.
#pragma once

#include "drivers/Http.h"
#include "drivers/MemberLink.h"

namespace turmericpitch {

struct ReplicaWatchOptions {
  Duration OpenTimeout = std::chrono::milliseconds(400);
  /// A connection on which a reply takes longer is replaced. Longer than
  /// OpenTimeout, as a new connection no longer shows that the same process
  /// runs.
  Duration ReplyTimeout = std::chrono::milliseconds(1000);
};

/// Keeps one connection to a replica: all that is replied over it comes from
/// the same process. Not thread-safe: use only on the thread of its executor.
class ReplicaWatch : public std::enable_shared_from_this<ReplicaWatch> {
public:
  struct Hooks {
    /// The replica replied over a connection that was open from this time on.
    std::function<void(TimePoint ConnectedAt)> OnConnected;
    /// No process listened at the address or, if InUse, another member did.
    std::function<void(bool InUse, TimePoint AskedAt, TimePoint AnsweredAt)>
        OnAddressAnswered;
  };
  struct Reply {
    MemberReport Report;
    /// Since when the connection of the reply is open.
    TimePoint ConnectedAt;
  };
  using ReplyHandler = std::function<void(const std::optional<Reply> &)>;

  ReplicaWatch(Executor Exec, RegisteredMember Member, Hooks Callbacks,
               ReplicaWatchOptions Options = {});
  ~ReplicaWatch();
  ReplicaWatch(const ReplicaWatch &) = delete;
  ReplicaWatch &operator=(const ReplicaWatch &) = delete;

  /// Asks for the state of the log. OnReply gets nothing if no valid reply
  /// arrived and also, before the call returns, if a query is running.
  void query(ReplyHandler OnReply);
  /// Asks again if the last query was begun Interval ago.
  void poll(Duration Interval);
  /// Whether the connection that is open is the one of ConnectedAt.
  [[nodiscard]] bool isConnectedSince(TimePoint ConnectedAt) const;
  [[nodiscard]] const RegisteredMember &member() const { return this->Member; }

private:
  void onOpened(LinkOpening Result, const ReplyHandler &OnReply);
  void send(const ReplyHandler &OnReply);

  Executor Exec;
  RegisteredMember Member;
  Hooks Callbacks;
  ReplicaWatchOptions Options;
  std::shared_ptr<MemberLink> Link;
  TimePoint ConnectedAt;
  TimePoint QueriedAt;
  bool QueryRunning = false;
  /// How the newest attempt to connect ended.
  LinkOpening LastOpening = LinkOpening::Unreachable;
  BootClock Clock;
};

} // namespace turmericpitch
