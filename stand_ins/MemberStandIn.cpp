#include "stand_ins/MemberStandIn.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace turmericpitch {

namespace {

constexpr Term FirstTerm{1};
constexpr std::size_t MaxBatchEntries = 1000;

Error makeError(ErrorKind Kind, std::string Message, std::string Remedy) {
  return {
      .Kind = Kind, .Message = std::move(Message), .Remedy = std::move(Remedy)};
}

Error supersededError(Term AcceptedTerm) {
  return makeError(ErrorKind::Superseded,
                   "member accepts term " + std::to_string(AcceptedTerm.Value),
                   "find the primary of the newest term");
}

Error unknownTransactionError() {
  return makeError(ErrorKind::NotRun, "no such transaction on this connection",
                   "begin a new transaction");
}

/// A parsed statement: verb, key, and the rest of the line as the argument.
struct ParsedStatement {
  std::string Verb;
  std::string Key;
  std::string Argument;
};

ParsedStatement parseStatement(const std::string &Text) {
  ParsedStatement Parsed;
  std::istringstream Stream(Text);
  Stream >> Parsed.Verb >> Parsed.Key;
  Stream >> std::ws;
  std::getline(Stream, Parsed.Argument, '\0');
  return Parsed;
}

std::int64_t parseNumberOr(const std::string &Text, std::int64_t Default) {
  std::int64_t Value = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

MemberStandIn::MemberStandIn(MemberOptions Options)
    : Options(std::move(Options)) {}

void MemberStandIn::bootstrap(const UpstreamId &Primary) {
  this->AcceptedTerm = FirstTerm;
  if (Primary == this->Options.Id) {
    this->Role = MemberRole::Primary;
    this->History = this->History.extended(
        {.NewTerm = FirstTerm, .PrecedingPosition = LogPosition{}});
    return;
  }
  this->Following = Primary;
}

Outcome<ConnectionId> MemberStandIn::connect() {
  if (this->OpenConnections.size() >= this->Options.ConnectionLimit)
    return makeError(ErrorKind::Overloaded, "connection limit reached",
                     "close a connection first");
  ConnectionId Id{this->NextConnection++};
  this->OpenConnections[Id] = std::nullopt;
  return Id;
}

void MemberStandIn::disconnect(ConnectionId Connection) {
  this->OpenConnections.erase(Connection);
}

Outcome<MemberAnswer> MemberStandIn::handle(ConnectionId Connection,
                                            const MemberRequest &Request,
                                            TimePoint Now) {
  this->applyDue(Now);
  if (const auto *Execute = std::get_if<ExecuteRequest>(&Request))
    return this->execute(Connection, *Execute, Now);
  if (const auto *Begin = std::get_if<BeginRequest>(&Request))
    return this->begin(Connection, *Begin, Now);
  if (const auto *Commit = std::get_if<CommitRequest>(&Request))
    return this->commit(Connection, *Commit, Now);
  if (const auto *Fence = std::get_if<FenceRequest>(&Request))
    return this->fence(*Fence, Now);
  if (const auto *Promote = std::get_if<PromoteRequest>(&Request))
    return this->promote(*Promote, Now);
  if (const auto *Follow = std::get_if<FollowRequest>(&Request))
    return this->follow(*Follow, Now);
  if (std::holds_alternative<RollbackRequest>(Request))
    this->OpenConnections[Connection] = std::nullopt;
  MemberAnswer Answer;
  Answer.Status = this->status(Now);
  return Answer;
}

Outcome<MemberAnswer> MemberStandIn::execute(ConnectionId Connection,
                                             const ExecuteRequest &Request,
                                             TimePoint Now) {
  if (Request.ExpectedTerm && (*Request.ExpectedTerm != this->AcceptedTerm ||
                               this->Role != MemberRole::Primary))
    return supersededError(this->AcceptedTerm);
  if (Request.Write && this->Role != MemberRole::Primary)
    return supersededError(this->AcceptedTerm);
  if (!this->History.contains(Request.MinPosition, this->AppliedPosition))
    return makeError(ErrorKind::NotRun,
                     "required entry not yet applied at this member",
                     "read at another member");
  OpenTransaction *Transaction = nullptr;
  if (Request.Transaction) {
    std::optional<OpenTransaction> &Open = this->OpenConnections[Connection];
    if (!Open || Open->Id != *Request.Transaction)
      return unknownTransactionError();
    if (Open->BeginTerm != this->AcceptedTerm)
      return supersededError(this->AcceptedTerm);
    Transaction = &*Open;
  }
  if (Request.Write && !Transaction)
    if (auto Recorded = this->findRecordedAnswer(Request.Key, Request.Id, Now))
      return *Recorded;
  StatementScope Scope{.Writes = {}, .Transaction = Transaction};
  auto Rows = this->run(Request.Statement, Request.Write, Scope);
  if (!Rows)
    return Rows.error();
  ++this->StatementCount;
  if (Transaction || !Request.Write) {
    MemberAnswer Answer;
    Answer.Id = Request.Id;
    Answer.Status = this->status(Now);
    Answer.Rows = Rows.value();
    if (Transaction)
      Transaction->Rows.insert(Transaction->Rows.end(), Answer.Rows.begin(),
                               Answer.Rows.end());
    return Answer;
  }
  LogEntry Entry;
  for (const auto &[Key, Value] : Scope.Writes)
    Entry.Writes.push_back({.Key = Key, .Value = Value});
  Entry.Key = Request.Key.value_or(IdempotencyKey{});
  Entry.Rows = Rows.value();
  return this->append(std::move(Entry), Request.Id, Now);
}

Outcome<std::vector<std::string>>
MemberStandIn::run(const std::string &Statement, bool MayWrite,
                   StatementScope &Scope) {
  ParsedStatement Parsed = parseStatement(Statement);
  std::vector<std::string> Rows;
  if (Parsed.Verb == "get") {
    if (auto Value = this->lookUp(Parsed.Key, Scope))
      Rows.push_back(*Value);
    return Rows;
  }
  if (Parsed.Verb == "scan") {
    for (auto At = this->State.lower_bound(Parsed.Key);
         At != this->State.end() && At->first.starts_with(Parsed.Key); ++At)
      Rows.push_back(At->first + "=" + At->second.Value);
    return Rows;
  }
  bool Known =
      Parsed.Verb == "put" || Parsed.Verb == "insert" || Parsed.Verb == "add";
  if (!Known || Parsed.Key.empty())
    return makeError(ErrorKind::BadRequest, "unknown statement",
                     "use get, scan, put, insert or add");
  if (!MayWrite)
    return makeError(ErrorKind::BadRequest,
                     "statement writes but is declared as a read",
                     "declare it as a write");
  auto &Writes = Scope.Transaction ? Scope.Transaction->Writes : Scope.Writes;
  if (Parsed.Verb == "put") {
    Writes[Parsed.Key] = Parsed.Argument;
    return Rows;
  }
  auto Old = this->lookUp(Parsed.Key, Scope);
  if (Parsed.Verb == "insert") {
    if (Old)
      return makeError(ErrorKind::BadRequest, "key already exists",
                       "use another key or put");
    Writes[Parsed.Key] = Parsed.Argument;
    return Rows;
  }
  std::int64_t Sum =
      parseNumberOr(Old.value_or("0"), 0) + parseNumberOr(Parsed.Argument, 0);
  Writes[Parsed.Key] = std::to_string(Sum);
  Rows.push_back(std::to_string(Sum));
  return Rows;
}

std::optional<std::string> MemberStandIn::lookUp(const std::string &Key,
                                                 StatementScope &Scope) {
  auto Found = this->State.find(Key);
  if (Scope.Transaction) {
    auto Own = Scope.Transaction->Writes.find(Key);
    if (Own != Scope.Transaction->Writes.end())
      return Own->second;
    Scope.Transaction->Reads.emplace(Key, Found == this->State.end()
                                              ? LogPosition{}
                                              : Found->second.WrittenAt);
  }
  if (Found == this->State.end())
    return std::nullopt;
  return Found->second.Value;
}

std::optional<MemberAnswer>
MemberStandIn::findRecordedAnswer(const std::optional<IdempotencyKey> &Key,
                                  const RequestId &Id, TimePoint Now) {
  if (!Key)
    return std::nullopt;
  auto Found = this->Outcomes.find(*Key);
  if (Found == this->Outcomes.end())
    return std::nullopt;
  const LogEntry &Entry = this->Log[Found->second.WrittenAt.Value - 1];
  MemberAnswer Answer;
  Answer.Id = Id;
  Answer.Status = this->status(Now);
  Answer.Rows = Entry.Rows;
  Answer.Written = {.WrittenIn = Entry.WrittenIn,
                    .Position = Found->second.WrittenAt};
  Answer.Repeated = true;
  return Answer;
}

MemberAnswer MemberStandIn::append(LogEntry Entry, const RequestId &Id,
                                   TimePoint Now) {
  Entry.WrittenIn = this->AcceptedTerm;
  MemberAnswer Answer;
  Answer.Id = Id;
  Answer.Rows = Entry.Rows;
  this->appendEntry(std::move(Entry), Now);
  this->applyUpTo(this->lastEntry().Position);
  Answer.Written = this->lastEntry();
  Answer.Status = this->status(Now);
  return Answer;
}

void MemberStandIn::appendEntry(LogEntry Entry, TimePoint VisibleAt) {
  this->Log.push_back(std::move(Entry));
  this->Pending.push_back(
      {.Position = this->lastEntry().Position, .VisibleAt = VisibleAt});
}

void MemberStandIn::applyUpTo(LogPosition Position) {
  while (this->AppliedPosition < Position) {
    const LogEntry &Entry = this->Log[this->AppliedPosition.Value];
    ++this->AppliedPosition.Value;
    for (const KeyWrite &Write : Entry.Writes)
      this->State[Write.Key] = {.Value = Write.Value,
                                .WrittenAt = this->AppliedPosition};
    if (!Entry.Key.Value.empty())
      this->Outcomes.emplace(
          Entry.Key, RecordedOutcome{.WrittenAt = this->AppliedPosition});
  }
  while (!this->Pending.empty() &&
         this->Pending.front().Position <= this->AppliedPosition)
    this->Pending.pop_front();
}

void MemberStandIn::applyDue(TimePoint Now) {
  while (!this->Pending.empty() && this->Pending.front().VisibleAt <= Now)
    this->applyUpTo(this->Pending.front().Position);
}

Outcome<MemberAnswer> MemberStandIn::begin(ConnectionId Connection,
                                           const BeginRequest &Request,
                                           TimePoint Now) {
  if (Request.ExpectedTerm != this->AcceptedTerm ||
      this->Role != MemberRole::Primary)
    return supersededError(this->AcceptedTerm);
  OpenTransaction Opened;
  Opened.Id = Request.Transaction;
  Opened.BeginTerm = this->AcceptedTerm;
  this->OpenConnections[Connection] = std::move(Opened);
  MemberAnswer Answer;
  Answer.Id = Request.Id;
  Answer.Status = this->status(Now);
  return Answer;
}

Outcome<MemberAnswer> MemberStandIn::commit(ConnectionId Connection,
                                            const CommitRequest &Request,
                                            TimePoint Now) {
  std::optional<OpenTransaction> Closed;
  std::swap(Closed, this->OpenConnections[Connection]);
  if (auto Recorded = this->findRecordedAnswer(Request.Key, Request.Id, Now))
    return *Recorded;
  if (!Closed || Closed->Id != Request.Transaction)
    return unknownTransactionError();
  if (Closed->BeginTerm != this->AcceptedTerm ||
      this->Role != MemberRole::Primary)
    return supersededError(this->AcceptedTerm);
  for (const auto &[Key, ReadAt] : Closed->Reads) {
    auto Found = this->State.find(Key);
    LogPosition CurrentWrite =
        Found == this->State.end() ? LogPosition{} : Found->second.WrittenAt;
    if (CurrentWrite != ReadAt)
      return makeError(ErrorKind::NotRun,
                       "transaction conflicts with another one",
                       "run the transaction again");
  }
  LogEntry Entry;
  for (const auto &[Key, Value] : Closed->Writes)
    Entry.Writes.push_back({.Key = Key, .Value = Value});
  Entry.Key = Request.Key.value_or(IdempotencyKey{});
  Entry.Rows = Closed->Rows;
  return this->append(std::move(Entry), Request.Id, Now);
}

Outcome<MemberAnswer> MemberStandIn::fence(const FenceRequest &Request,
                                           TimePoint Now) {
  bool Repeated = Request.NextTerm == this->AcceptedTerm &&
                  Request.Attempt == this->FencedBy;
  if (Request.NextTerm <= this->AcceptedTerm && !Repeated)
    return supersededError(this->AcceptedTerm);
  if (!Repeated) {
    this->AcceptedTerm = Request.NextTerm;
    this->FencedBy = Request.Attempt;
    this->Role = MemberRole::Replica;
    this->Following = {};
  }
  MemberAnswer Answer;
  Answer.Status = this->status(Now);
  return Answer;
}

Outcome<MemberAnswer> MemberStandIn::promote(const PromoteRequest &Request,
                                             TimePoint Now) {
  if (Request.NextTerm != this->AcceptedTerm ||
      Request.Attempt != this->FencedBy)
    return supersededError(this->AcceptedTerm);
  if (this->Role != MemberRole::Primary) {
    if (this->lastEntry() != Request.ExpectedEntry ||
        !this->Following.Value.empty())
      return supersededError(this->AcceptedTerm);
    this->applyUpTo(this->lastEntry().Position);
    this->Role = MemberRole::Primary;
    this->History = this->History.extended(
        {.NewTerm = Request.NextTerm,
         .PrecedingPosition = this->lastEntry().Position});
    // Once a majority holds the first entry of the new term, all entries
    // before it are confirmed.
    return this->append(LogEntry{}, RequestId{}, Now);
  }
  MemberAnswer Answer;
  Answer.Status = this->status(Now);
  return Answer;
}

Outcome<MemberAnswer> MemberStandIn::follow(const FollowRequest &Request,
                                            TimePoint Now) {
  if (Request.NextTerm < this->AcceptedTerm)
    return supersededError(this->AcceptedTerm);
  bool IsPrimaryOfTerm = Request.NextTerm == this->AcceptedTerm &&
                         this->Role == MemberRole::Primary;
  if (IsPrimaryOfTerm || Request.Primary == this->Options.Id)
    return supersededError(this->AcceptedTerm);
  if (Request.NextTerm > this->AcceptedTerm)
    this->FencedBy.clear();
  this->AcceptedTerm = Request.NextTerm;
  this->Role = MemberRole::Replica;
  if (this->Following != Request.Primary)
    this->LastBatchAt.reset();
  this->Following = Request.Primary;
  MemberAnswer Answer;
  Answer.Status = this->status(Now);
  return Answer;
}

bool MemberStandIn::waitIsOver(const WaitRequest &Request, TimePoint Now) {
  this->applyDue(Now);
  LogPosition Reached =
      Request.UntilApplied ? this->AppliedPosition : this->lastEntry().Position;
  return this->History.contains(Request.Entry, Reached) ||
         this->History.discards(Request.Entry) ||
         this->AcceptedTerm > Request.Entry.WrittenIn;
}

MemberStatus MemberStandIn::status(TimePoint Now) {
  this->applyDue(Now);
  MemberStatus Status = this->lastStatus();
  if (!this->Following.Value.empty() && this->LastBatchAt)
    Status.PrimarySilence = Now - *this->LastBatchAt;
  return Status;
}

MemberStatus MemberStandIn::lastStatus() const {
  return {.Id = this->Options.Id,
          .Role = this->Role,
          .AcceptedTerm = this->AcceptedTerm,
          .LastEntry = this->lastEntry(),
          .AppliedPosition = this->AppliedPosition,
          .History = this->History,
          .PrimarySilence = std::nullopt};
}

std::optional<ReplicationRequest> MemberStandIn::replicationRequest() const {
  if (this->Following.Value.empty())
    return std::nullopt;
  return ReplicationRequest{.Primary = this->Following,
                            .AcceptedTerm = this->AcceptedTerm,
                            .Received = this->lastEntry(),
                            .History = this->History};
}

Outcome<ReplicationBatch>
MemberStandIn::replicate(const ReplicationRequest &Request) const {
  if (this->Role != MemberRole::Primary ||
      Request.AcceptedTerm != this->AcceptedTerm)
    return supersededError(this->AcceptedTerm);
  // Two logs have the same entries up to some position and none in common after
  // it. The common prefix ends at the last position with the same term in both
  // histories.
  LogPosition Common =
      std::min(Request.Received.Position, this->lastEntry().Position);
  while (Common.Value > 0 &&
         this->History.entryAt(Common) != Request.History.entryAt(Common))
    --Common.Value;
  ReplicationBatch Batch;
  Batch.AcceptedTerm = this->AcceptedTerm;
  Batch.After = Common;
  Batch.History = this->History;
  auto First = this->Log.begin() + static_cast<std::ptrdiff_t>(Common.Value);
  std::size_t Count =
      std::min(MaxBatchEntries, this->Log.size() - Common.Value);
  Batch.Entries.assign(First, First + static_cast<std::ptrdiff_t>(Count));
  return Batch;
}

void MemberStandIn::onReplicated(const ReplicationBatch &Batch, TimePoint Now) {
  if (Batch.AcceptedTerm != this->AcceptedTerm ||
      this->Following.Value.empty() || Batch.After > this->lastEntry().Position)
    return;
  this->LastBatchAt = Now;
  // A delayed batch may contain only entries that this member already holds.
  // Entries are truncated only if they differ, so that those of an earlier
  // batch stay.
  LogPosition At = Batch.After;
  for (const LogEntry &Entry : Batch.Entries) {
    ++At.Value;
    bool AlreadyHeld = At <= this->lastEntry().Position;
    if (AlreadyHeld && this->Log[At.Value - 1].WrittenIn == Entry.WrittenIn)
      continue;
    if (AlreadyHeld)
      this->truncateTo(LogPosition{At.Value - 1});
    this->appendEntry(Entry, Now + this->Options.ApplyLag);
  }
  // Terms that start after the last held entry do not yet belong to this log.
  std::vector<TermStart> Starts;
  LogPosition Reached{this->Log.size()};
  for (const TermStart &Start : Batch.History.starts())
    if (Start.PrecedingPosition <= Reached)
      Starts.push_back(Start);
  this->History = TermHistory(std::move(Starts));
  this->applyDue(Now);
}

void MemberStandIn::truncateTo(LogPosition Position) {
  this->TruncatedEntries += this->Log.size() - Position.Value;
  this->Log.resize(Position.Value);
  std::erase_if(this->Pending, [&](const PendingApply &Waiting) {
    return Waiting.Position > Position;
  });
  if (this->AppliedPosition <= Position)
    return;
  this->AppliedPosition = {};
  this->State.clear();
  this->Outcomes.clear();
  this->applyUpTo(Position);
}

TermPosition MemberStandIn::lastEntry() const {
  if (this->Log.empty())
    return {};
  return {.WrittenIn = this->Log.back().WrittenIn,
          .Position = LogPosition{this->Log.size()}};
}

} // namespace turmericpitch
