// In-process stand-in for a database member: a replicated log with terms and a
// small key-value state.
#pragma once

#include "core/Member.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace turmericpitch {

/// A key and the value that a log entry sets.
struct KeyWrite {
  std::string Key;
  std::string Value;

  auto operator<=>(const KeyWrite &) const = default;
};

/// One entry of the replicated log.
struct LogEntry {
  Term WrittenIn;
  std::vector<KeyWrite> Writes;
  /// The idempotency key recorded with the writes. Empty if there is none.
  IdempotencyKey Key;
  /// The rows returned by the statement.
  std::vector<std::string> Rows;

  bool operator==(const LogEntry &) const = default;
};

/// Log entries sent from a primary to a replica.
struct ReplicationBatch {
  Term AcceptedTerm;
  /// Position before the first entry.
  LogPosition After;
  std::vector<LogEntry> Entries;
  TermHistory History;
};

/// A replica's request for the entries that follow its own log.
struct ReplicationRequest {
  UpstreamId Primary;
  Term AcceptedTerm;
  /// The last entry that the replica holds.
  TermPosition Received;
  TermHistory History;
};

/// Configuration of a member stand-in.
struct MemberOptions {
  UpstreamId Id;
  /// Number of statements that run concurrently.
  std::uint32_t Slots = 3;
  std::uint32_t ConnectionLimit = 20;
  /// Time from the arrival of an entry until reads can see it.
  Duration ApplyLag{0};
};

/// Identifies a client connection at a member.
using ConnectionId = Number<struct ConnectionTag>;

/// One member. All requests are answered at once; the calling code adds waits
/// and network latency. Not thread-safe.
class MemberStandIn {
public:
  explicit MemberStandIn(MemberOptions Options);

  /// Makes the member the first primary (term 1) if Primary is its own name,
  /// otherwise a replica of Primary.
  void bootstrap(const UpstreamId &Primary);

  /// Errors: Overloaded if the connection limit is reached.
  Outcome<ConnectionId> connect();
  /// Closes the connection and rolls back its open transaction.
  void disconnect(ConnectionId Connection);

  /// Handles a request. For a wait, it returns only the status; see
  /// waitIsOver(). Errors: Superseded if the member's term or role does not
  /// match the request, NotRun if the member can't execute it, BadRequest if
  /// the statement is invalid. After any error, the request had no effect.
  Outcome<MemberAnswer> handle(ConnectionId Connection,
                               const MemberRequest &Request, TimePoint Now);
  /// Whether a wait has ended. Also true if this member can never hold the
  /// entry.
  bool waitIsOver(const WaitRequest &Request, TimePoint Now);

  [[nodiscard]] MemberStatus status(TimePoint Now);
  /// The status without entries that became visible after the last call that
  /// was given the current time.
  [[nodiscard]] MemberStatus lastStatus() const;

  /// The next request to the followed primary. Empty if none is followed.
  [[nodiscard]] std::optional<ReplicationRequest> replicationRequest() const;
  /// Returns the entries that a replica lacks. Errors: Superseded if this
  /// member is not the primary of the requested term.
  [[nodiscard]] Outcome<ReplicationBatch>
  replicate(const ReplicationRequest &Request) const;
  /// Appends the entries of a batch. Ignored if the batch has another term
  /// than the accepted one.
  void onReplicated(const ReplicationBatch &Batch, TimePoint Now);

  /// Number of entries truncated from this member's log because they differed
  /// from the primary's.
  [[nodiscard]] std::uint64_t truncatedEntries() const {
    return this->TruncatedEntries;
  }
  [[nodiscard]] std::size_t connections() const {
    return this->OpenConnections.size();
  }
  [[nodiscard]] std::uint64_t statementsRun() const {
    return this->StatementCount;
  }
  /// The promotion attempt that fenced this member for the accepted term. Empty
  /// if there is none.
  [[nodiscard]] const std::string &fencedBy() const { return this->FencedBy; }
  MemberOptions &options() { return this->Options; }
  [[nodiscard]] const std::vector<LogEntry> &log() const { return this->Log; }

private:
  struct OpenTransaction {
    TransactionId Id;
    Term BeginTerm;
    std::map<std::string, std::string> Writes;
    /// Keys read, and the log position of the entry that last wrote them.
    std::map<std::string, LogPosition> Reads;
    std::vector<std::string> Rows;
  };
  struct StoredValue {
    std::string Value;
    LogPosition WrittenAt;
  };
  struct RecordedOutcome {
    LogPosition WrittenAt;
  };
  struct PendingApply {
    LogPosition Position;
    TimePoint VisibleAt;
  };
  /// The writes of one statement, or the transaction that it belongs to.
  struct StatementScope {
    std::map<std::string, std::string> Writes;
    OpenTransaction *Transaction = nullptr;
  };

  Outcome<MemberAnswer> execute(ConnectionId Connection,
                                const ExecuteRequest &Request, TimePoint Now);
  Outcome<MemberAnswer> begin(ConnectionId Connection,
                              const BeginRequest &Request, TimePoint Now);
  Outcome<MemberAnswer> commit(ConnectionId Connection,
                               const CommitRequest &Request, TimePoint Now);
  Outcome<MemberAnswer> fence(const FenceRequest &Request, TimePoint Now);
  Outcome<MemberAnswer> promote(const PromoteRequest &Request, TimePoint Now);
  Outcome<MemberAnswer> follow(const FollowRequest &Request, TimePoint Now);

  Outcome<std::vector<std::string>> run(const std::string &Statement,
                                        bool MayWrite, StatementScope &Scope);
  std::optional<std::string> lookUp(const std::string &Key,
                                    StatementScope &Scope);
  std::optional<MemberAnswer>
  findRecordedAnswer(const std::optional<IdempotencyKey> &Key,
                     const RequestId &Id, TimePoint Now);
  MemberAnswer append(LogEntry Entry, const RequestId &Id, TimePoint Now);
  void appendEntry(LogEntry Entry, TimePoint VisibleAt);
  void applyUpTo(LogPosition Position);
  void applyDue(TimePoint Now);
  void truncateTo(LogPosition Position);
  [[nodiscard]] TermPosition lastEntry() const;

  MemberOptions Options;
  MemberRole Role = MemberRole::Replica;
  Term AcceptedTerm;
  std::string FencedBy;
  UpstreamId Following;
  /// When the last batch from the followed primary arrived.
  std::optional<TimePoint> LastBatchAt;
  std::vector<LogEntry> Log;
  TermHistory History;
  LogPosition AppliedPosition;
  std::deque<PendingApply> Pending;
  std::map<std::string, StoredValue> State;
  std::map<IdempotencyKey, RecordedOutcome> Outcomes;
  std::map<ConnectionId, std::optional<OpenTransaction>> OpenConnections;
  std::uint64_t NextConnection = 1;
  std::uint64_t TruncatedEntries = 0;
  std::uint64_t StatementCount = 0;
};

} // namespace turmericpitch
