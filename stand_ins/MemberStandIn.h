// A database member as an in-process object: a replicated log with terms and
// a small key-value state.
#pragma once

#include "core/Member.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace turmericpitch {

/// One key set by a log entry.
struct KeyWrite {
  std::string Key;
  std::string Value;

  auto operator<=>(const KeyWrite &) const = default;
};

/// One entry of the replicated log.
struct LogEntry {
  Term WrittenIn;
  std::vector<KeyWrite> Writes;
  /// The idempotency key recorded with the writes; empty for none.
  IdempotencyKey Key;
  /// What the statement answered.
  std::vector<std::string> Rows;

  bool operator==(const LogEntry &) const = default;
};

/// Log entries sent from a primary to a replica.
struct ReplicationBatch {
  Term AcceptedTerm;
  /// Index before the first entry.
  LogPosition After;
  std::vector<LogEntry> Entries;
  TermHistory History;
};

/// What a replica asks its primary for.
struct ReplicationRequest {
  UpstreamId Primary;
  Term AcceptedTerm;
  /// The furthest entry that the replica holds.
  TermPosition Received;
  TermHistory History;
};

/// Settable behaviour.
struct MemberOptions {
  UpstreamId Id;
  /// Statements that run at once.
  std::uint32_t Slots = 3;
  std::uint32_t ConnectionLimit = 20;
  /// From an entry's arrival to its visibility to reads.
  Duration ApplyLag{0};
};

/// Names one client connection at a member.
using ConnectionId = Number<struct ConnectionTag>;

/// One member. Not thread-safe. All requests are answered at once; the
/// program around it adds waiting and network delay.
class MemberStandIn {
public:
  explicit MemberStandIn(MemberOptions Options);

  /// Makes the member the first primary (term 1) or a replica of it.
  void bootstrap(const UpstreamId &Primary);

  /// Errors: Overloaded beyond the connection limit.
  Outcome<ConnectionId> connect();
  /// Ends the connection and rolls back its open transaction.
  void disconnect(ConnectionId Connection);

  /// Handles a request other than a wait. Errors: Superseded if the term
  /// does not fit, NotRun if the member can't serve it, BadRequest for an
  /// unknown statement. Every error proves that nothing ran.
  Outcome<MemberAnswer> handle(ConnectionId Connection,
                               const MemberRequest &Request, TimePoint Now);
  /// Whether a wait is over. Also true if the entry can never be held here.
  bool waitIsOver(const WaitRequest &Request, TimePoint Now);

  [[nodiscard]] MemberStatus status(TimePoint Now);
  /// The status without what has become visible since the last event.
  [[nodiscard]] MemberStatus lastStatus() const;

  /// What to ask of which primary; nothing if it follows none.
  [[nodiscard]] std::optional<ReplicationRequest> replicationRequest() const;
  /// Serves a replica. Errors: Superseded unless primary in that term.
  [[nodiscard]] Outcome<ReplicationBatch>
  replicate(const ReplicationRequest &Request) const;
  /// Takes entries in; ignored unless of the term that is followed.
  void onReplicated(const ReplicationBatch &Batch, TimePoint Now);

  /// Entries cut off this member's log since its start, as it rejoined.
  [[nodiscard]] std::uint64_t entriesCutOff() const { return this->CutOff; }
  [[nodiscard]] std::size_t connections() const { return this->Open.size(); }
  [[nodiscard]] std::uint64_t statementsRun() const { return this->Ran; }
  /// The attempt that the accepted term is promised to; empty for none.
  [[nodiscard]] const std::string &sealedBy() const { return this->SealedBy; }
  MemberOptions &options() { return this->Options; }
  [[nodiscard]] const std::vector<LogEntry> &log() const { return this->Log; }

private:
  struct OpenTransaction {
    TransactionId Id;
    Term BeginTerm;
    std::map<std::string, std::string> Writes;
    /// Keys read, with the log position that last wrote them.
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
  /// Where a statement reads and writes: plain state or a transaction.
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
  Outcome<MemberAnswer> seal(const FenceRequest &Request, TimePoint Now);
  Outcome<MemberAnswer> promote(const PromoteRequest &Request, TimePoint Now);
  Outcome<MemberAnswer> follow(const FollowRequest &Request, TimePoint Now);

  Outcome<std::vector<std::string>> run(const std::string &Statement,
                                        bool MayWrite, StatementScope &Scope);
  std::optional<std::string> lookUp(const std::string &Key,
                                    StatementScope &Scope);
  std::optional<MemberAnswer> recorded(const std::optional<IdempotencyKey> &Key,
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
  std::string SealedBy;
  UpstreamId Following;
  /// When a batch last came from the followed primary.
  std::optional<TimePoint> HeardAt;
  std::vector<LogEntry> Log;
  TermHistory History;
  LogPosition AppliedPosition;
  std::deque<PendingApply> Pending;
  std::map<std::string, StoredValue> State;
  std::map<IdempotencyKey, RecordedOutcome> Outcomes;
  std::map<ConnectionId, std::optional<OpenTransaction>> Open;
  std::uint64_t NextConnection = 1;
  std::uint64_t CutOff = 0;
  std::uint64_t Ran = 0;
};

} // namespace turmericpitch
