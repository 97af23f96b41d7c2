// Stand-ins for database members that speak the line protocol on loopback.
#pragma once

#include "core/Endpoint.h"
#include "core/LogPosition.h"
#include "drivers/LineConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericpitch {

/// The state and injected faults of one member.
struct SessionGroupMember {
  std::string Id;
  Endpoint Where;
  bool Primary = false;
  /// Whether the member receives no entries from the primary.
  bool ReplicationPaused = false;
  /// Whether the member is stopped and accepts no connections.
  bool Down = false;
  /// Whether replies to reads and writes are kept back.
  bool RepliesHeld = false;
  /// The same for replies to setup steps.
  bool SetupHeld = false;
  /// The error code that answers reads and writes; empty if they run.
  std::string Refusal;
  /// Number of reads and writes received.
  std::size_t Statements = 0;
  /// The newest term known to the member.
  std::uint64_t Term = 1;
  /// Whether the member is cut off as soon as it is promoted: nobody reaches
  /// it, and the former primary doesn't notice that it leads.
  bool CutOffByPromotion = false;
  /// Whether the platform finds that the member doesn't run.
  bool RefusesPromotion = false;
  /// Time until all received entries are applied; until then, the member
  /// refuses reads after a position.
  std::chrono::milliseconds ApplyDelay{0};
  /// Statements that it reports as running or queued.
  std::size_t Busy = 0;
  /// A log entry: the term in which it was written, the item and its data.
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
  SessionGroup(boost::asio::any_io_executor Exec, std::string Service);
  ~SessionGroup();
  SessionGroup(const SessionGroup &) = delete;
  SessionGroup &operator=(const SessionGroup &) = delete;

  /// Adds a member that listens on a loopback address; the first one is the
  /// primary.
  /// Errors: Unavailable if the address can't be bound.
  Status add(const std::string &Id, const Endpoint &Where);
  /// Makes a member the primary of the next term, unless it is the one that was
  /// promoted last; false if it is down or unknown.
  bool promote(const std::string &Id);
  /// While set, promotions are accepted but take no effect. Clearing it lets
  /// them.
  void setPromotionsDelayed(bool Delayed);
  /// Lets a member that was stopped listen again as if it had been cut off: it
  /// still leads its term.
  /// Errors: Unavailable if its address can't be bound.
  Status returnAsPrimary(const std::string &Id);
  /// Lets a member be cut off as soon as it is promoted.
  void cutOffByPromotion(const std::string &Id);
  /// While set, the platform refuses to promote the member.
  void setRefusesPromotion(const std::string &Id, bool Refuses);
  /// Lets a member apply its log late.
  void setApplyDelay(const std::string &Id, std::chrono::milliseconds Delay);
  void setBusy(const std::string &Id, std::size_t Statements);
  /// Number of writes that were committed at a former primary after another
  /// member had been promoted.
  [[nodiscard]] std::size_t supersededCommits() const {
    return this->SupersededCommits;
  }
  /// The newest term that has begun.
  [[nodiscard]] std::uint64_t newestTerm() const;
  void stop(const std::string &Id);
  /// Lets a member that was stopped listen again, with its log and role.
  /// Errors: Unavailable if its address can't be bound.
  Status start(const std::string &Id);
  /// Closes all connections to a member and empties its log, as if its process
  /// had ended and another one started.
  void restartEmpty(const std::string &Id);
  /// Clearing it lets the member catch up.
  void setReplicationPaused(const std::string &Id, bool ReplicationPaused);
  /// While set, the member runs reads and writes but keeps their replies back.
  /// Clearing it sends the replies that were kept back.
  void setRepliesHeld(const std::string &Id, bool RepliesHeld);
  /// While set, the member keeps its replies to setup steps back as well.
  void setSetupHeld(const std::string &Id, bool SetupHeld);
  /// Closes the connections that wait for a reply that is kept back.
  void dropHeldReplies(const std::string &Id);
  /// While not empty, the member answers reads and writes with this error code
  /// instead of running them.
  void setRefusal(const std::string &Id, const std::string &Code);
  /// Number of reads and writes that have reached the member.
  [[nodiscard]] std::size_t statementCount(const std::string &Id) const;
  /// Number of status queries that have reached the member.
  [[nodiscard]] std::size_t statusCount(const std::string &Id) const;
  /// Whether a member's log has an entry with this data.
  [[nodiscard]] bool holds(const std::string &Id,
                           const std::string &Data) const;
  /// Number of replies that the member keeps back.
  [[nodiscard]] std::size_t heldCount(const std::string &Id) const;

  [[nodiscard]] const std::string &service() const { return this->Service; }
  /// While held, statements of callers wait at the members unanswered.
  void holdStatements(bool Held);
  /// Number of statements that wait.
  [[nodiscard]] std::size_t heldStatements() const {
    return this->Waiting.size();
  }
  [[nodiscard]] std::vector<SessionGroupMember> members() const;
  /// Sets the number of connections that a member accepts.
  void setConnectionLimit(const std::string &Id, std::size_t Limit);
  /// A statement that a member received, with the caller of its connection.
  struct Received {
    std::string Member;
    std::string Caller;
    std::string Id;
    std::string Text;
  };
  [[nodiscard]] const std::vector<Received> &received() const {
    return this->Statements;
  }
  /// Callers of all sessions opened at a member, in order.
  [[nodiscard]] std::vector<std::string> callers(const std::string &Id) const;
  /// Number of committed writes with this statement id.
  [[nodiscard]] std::size_t commitCount(const std::string &StatementId) const;

private:
  struct Member;
  struct Connection;

  Status listen(const std::shared_ptr<Member> &At, const Endpoint &Where);
  void accept(const std::shared_ptr<Member> &At);
  void onLine(const std::shared_ptr<Connection> &From, std::string_view Line);
  void answerOrHold(const std::shared_ptr<Connection> &From,
                    const std::string &Id, const std::string &Text);
  std::string answer(Connection &From, const std::string &Id, std::string Text);
  std::string run(Connection &From, const std::string &Id,
                  const std::string &Text);
  void takeEffect(Member &Promoted);
  void append(Member &At, const std::string &Id, const std::string &Item,
              const std::string &Data);
  /// Gives the primary's log to all replicas that receive.
  void replicate();

  boost::asio::any_io_executor Exec;
  std::string Service;
  std::map<std::string, std::shared_ptr<Member>> Members;
  std::vector<Received> Statements;
  /// Statement ids of committed writes.
  std::multiset<std::string> Committed;
  std::size_t SupersededCommits = 0;
  bool PromotionsDelayed = false;
  std::vector<std::string> DelayedPromotions;
  struct WaitingLine {
    std::shared_ptr<Connection> From;
    std::string Line;
  };
  bool Held = false;
  std::vector<WaitingLine> Waiting;
};

} // namespace turmericpitch
