#include "stand_ins/MemberServer.h"

#include "drivers/HttpConnection.h"
#include "drivers/MemberCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr std::string_view FaultsTarget = "/stand-in/faults";
constexpr std::string_view ReplicateTarget = "/replicate";
constexpr unsigned HttpOk = 200;
/// How long a primary holds a replica's request while it has nothing new.
constexpr Duration ReplicationPoll = std::chrono::milliseconds(50);
constexpr Duration ReplicationLimit = std::chrono::seconds(1);
constexpr Duration ReplicationRetry = std::chrono::milliseconds(20);
constexpr Duration PausePoll = std::chrono::milliseconds(10);
constexpr Duration WaitStep = std::chrono::milliseconds(50);

boost::json::object entryToJson(const LogEntry &Entry) {
  boost::json::object Json;
  Json["term"] = Entry.WrittenIn.Value;
  boost::json::array Writes;
  for (const KeyWrite &Write : Entry.Writes)
    Writes.push_back({Write.Key, Write.Value});
  Json["writes"] = std::move(Writes);
  Json["key"] = Entry.Key.Value;
  boost::json::array Rows;
  for (const std::string &Row : Entry.Rows)
    Rows.emplace_back(Row);
  Json["rows"] = std::move(Rows);
  return Json;
}

LogEntry readEntry(const boost::json::object &Json) {
  JsonReader Reader(Json);
  LogEntry Entry;
  Entry.WrittenIn = Term{Reader.number("term")};
  Entry.Key = IdempotencyKey{Reader.text("key")};
  Entry.Rows = Reader.texts("rows");
  if (const auto *Writes = Reader.array("writes"))
    for (const auto &Item : *Writes)
      Entry.Writes.push_back(
          {.Key = std::string(Item.as_array().at(0).as_string()),
           .Value = std::string(Item.as_array().at(1).as_string())});
  return Entry;
}

std::string encodeBatch(const ReplicationBatch &Batch) {
  boost::json::object Json;
  Json["term"] = Batch.AcceptedTerm.Value;
  Json["after"] = Batch.After.Value;
  Json["history"] = toJsonArray(Batch.History);
  boost::json::array Entries;
  for (const LogEntry &Entry : Batch.Entries)
    Entries.push_back(entryToJson(Entry));
  Json["entries"] = std::move(Entries);
  return boost::json::serialize(Json);
}

Result<ReplicationBatch> decodeBatch(const std::string &Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Reader(Json);
  ReplicationBatch Batch;
  Batch.AcceptedTerm = Term{Reader.number("term")};
  Batch.After = LogPosition{Reader.number("after")};
  Batch.History = readTermHistory(Reader.array("history"));
  if (const auto *Entries = Reader.array("entries"))
    for (const auto &Item : *Entries)
      Batch.Entries.push_back(readEntry(Item.as_object()));
  BOOST_LEAF_CHECK(Reader.finish());
  return Batch;
}

std::string encodeReplicationRequest(const ReplicationRequest &Request) {
  boost::json::object Json;
  Json["term"] = Request.AcceptedTerm.Value;
  Json["received"] = toJsonObject(Request.Received);
  Json["history"] = toJsonArray(Request.History);
  return boost::json::serialize(Json);
}

Result<ReplicationRequest> decodeReplicationRequest(const std::string &Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Reader(Json);
  ReplicationRequest Request;
  Request.AcceptedTerm = Term{Reader.number("term")};
  Request.Received = readTermPosition(Reader.object("received"));
  Request.History = readTermHistory(Reader.array("history"));
  BOOST_LEAF_CHECK(Reader.finish());
  return Request;
}

Result<MemberFaults> readFaults(const std::string &Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Reader(Json);
  MemberFaults Faults;
  Faults.Paused = Reader.flag("paused", false);
  Faults.ReplicationCut = Reader.flag("replication_cut", false);
  Faults.ApplyLag = Reader.milliseconds("apply_lag_ms").value_or(Duration{0});
  BOOST_LEAF_CHECK(Reader.finish());
  return Faults;
}

bool usesSlot(const MemberRequest &Request) {
  return std::holds_alternative<ExecuteRequest>(Request) ||
         std::holds_alternative<CommitRequest>(Request);
}

/// An error reply that names the request, so that it can't be taken for the
/// answer to another one.
HttpReply refuse(const Error &Failure, const MemberRequest &Request) {
  HttpReply Reply = replyWith(Failure);
  Reply.Body = encodeMemberError(Failure, requestIdOf(Request));
  return Reply;
}

bool usesSession(const MemberRequest &Request) {
  return usesSlot(Request) || std::holds_alternative<BeginRequest>(Request);
}

} // namespace

struct MemberServer::State : std::enable_shared_from_this<State> {
  State(const Executor &On, MemberServerOptions Options)
      : On(asio::make_strand(On)), Options(std::move(Options)),
        Member(this->Options.Member) {
    this->Member.bootstrap(this->Options.FirstPrimary);
  }

  /// The database session behind one client connection, opened by its first
  /// statement and ended with the connection.
  struct Session {
    explicit Session(std::shared_ptr<State> Owner) : Owner(std::move(Owner)) {}
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;
    ~Session() {
      std::lock_guard Lock(this->Owner->Guard);
      if (this->Id)
        this->Owner->Member.disconnect(*this->Id);
    }

    std::shared_ptr<State> Owner;
    std::optional<ConnectionId> Id;
  };

  Awaitable<HttpReply> handle(HttpRequest Request,
                              std::shared_ptr<Session> From);
  Awaitable<HttpReply> handleMember(const HttpRequest &Request,
                                    std::shared_ptr<Session> From);
  Awaitable<Status> openSession(std::shared_ptr<Session> From);
  Awaitable<void> takeSlot();
  Awaitable<void> waitUntilOver(WaitRequest Request);
  Awaitable<HttpReply> handleReplicate(const HttpRequest &Request);
  Awaitable<void> replicateForever();
  Awaitable<bool> replicateOnce();
  /// Ends replication from a member that is no longer followed.
  void endOldReplication();
  Awaitable<void> waitWhilePaused();

  Executor On;
  MemberServerOptions Options;
  std::mutex Guard;
  MemberStandIn Member;
  MemberFaults Faults;
  std::uint32_t SlotsUsed = 0;
  bool Closed = false;
  ChangeSignal Changed;
  MonotonicClock Time;
  std::shared_ptr<HttpConnection> ToPrimary;
  UpstreamId ConnectedTo;
};

MemberServer::MemberServer(Executor On, MemberServerOptions Options)
    : Shared(std::make_shared<State>(On, Options)),
      Server(On, HttpServerOptions{.Listen = Options.Listen},
             [Shared = this->Shared]() -> HttpHandler {
               auto From = std::make_shared<State::Session>(Shared);
               return
                   [Shared, From](HttpRequest Request) -> Awaitable<HttpReply> {
                     return Shared->handle(std::move(Request), From);
                   };
             }) {}

MemberServer::~MemberServer() { this->close(); }

Status MemberServer::start() {
  Status Started = this->Server.start();
  if (!Started)
    return Started;
  auto Self = this->Shared;
  asio::co_spawn(
      Self->On,
      [Self]() -> Awaitable<void> { co_await Self->replicateForever(); },
      asio::detached);
  return Started;
}

void MemberServer::close() {
  {
    std::lock_guard Lock(this->Shared->Guard);
    this->Shared->Closed = true;
  }
  this->Server.close();
  this->Shared->Changed.notify();
}

void MemberServer::setFaults(const MemberFaults &Faults) {
  {
    std::lock_guard Lock(this->Shared->Guard);
    this->Shared->Faults = Faults;
    this->Shared->Member.options().ApplyLag = Faults.ApplyLag;
  }
  this->Shared->Changed.notify();
}

MemberStatus MemberServer::status() const {
  std::lock_guard Lock(this->Shared->Guard);
  return this->Shared->Member.status(this->Shared->Time.now());
}

std::uint64_t MemberServer::entriesCutOff() const {
  std::lock_guard Lock(this->Shared->Guard);
  return this->Shared->Member.entriesCutOff();
}

Awaitable<void> MemberServer::State::waitWhilePaused() {
  while (true) {
    {
      std::lock_guard Lock(this->Guard);
      if (!this->Faults.Paused || this->Closed)
        co_return;
    }
    co_await sleepFor(PausePoll);
  }
}

Awaitable<HttpReply>
MemberServer::State::handle(HttpRequest Request,
                            std::shared_ptr<Session> From) {
  auto Self = this->shared_from_this();
  if (Request.Target == FaultsTarget) {
    auto Read = toOutcome([&] { return readFaults(Request.Body); });
    if (!Read)
      co_return replyWith(Read.error());
    {
      std::lock_guard Lock(this->Guard);
      this->Faults = Read.value();
      this->Member.options().ApplyLag = Read.value().ApplyLag;
    }
    this->Changed.notify();
    co_return HttpReply{.Body = "{}"};
  }
  co_await this->waitWhilePaused();
  HttpReply Reply;
  if (Request.Target == ReplicateTarget)
    Reply = co_await this->handleReplicate(Request);
  else
    Reply = co_await this->handleMember(Request, From);
  // A pause that began meanwhile holds the answer back, too.
  co_await this->waitWhilePaused();
  co_return Reply;
}

Awaitable<HttpReply>
MemberServer::State::handleMember(const HttpRequest &Request,
                                  std::shared_ptr<Session> From) {
  auto Decoded = toOutcome(
      [&] { return decodeMemberRequest(Request.Target, Request.Body); });
  if (!Decoded)
    co_return replyWith(Decoded.error());
  const MemberRequest &Wanted = Decoded.value();
  if (usesSession(Wanted)) {
    Status Opened = co_await this->openSession(From);
    if (!Opened)
      co_return refuse(Opened.error(), Wanted);
  }
  bool Slot = usesSlot(Wanted);
  if (Slot) {
    co_await this->takeSlot();
    co_await sleepFor(this->Options.StatementTime);
  }
  if (const auto *Wait = std::get_if<WaitRequest>(&Wanted))
    co_await this->waitUntilOver(*Wait);
  std::optional<Outcome<MemberAnswer>> Answer;
  {
    std::lock_guard Lock(this->Guard);
    if (Slot)
      --this->SlotsUsed;
    Answer = this->Member.handle(From->Id.value_or(ConnectionId{}), Wanted,
                                 this->Time.now());
  }
  this->endOldReplication();
  this->Changed.notify();
  if (!*Answer)
    co_return refuse(Answer->error(), Wanted);
  HttpReply Reply;
  Reply.Body = encodeMemberAnswer(Answer->value());
  co_return Reply;
}

Awaitable<Status>
MemberServer::State::openSession(std::shared_ptr<Session> From) {
  {
    std::lock_guard Lock(this->Guard);
    if (From->Id)
      co_return std::monostate{};
    auto Connected = this->Member.connect();
    if (!Connected)
      co_return Connected.error();
    From->Id = Connected.value();
  }
  co_await sleepFor(this->Options.ConnectTime);
  co_return std::monostate{};
}

Awaitable<void> MemberServer::State::takeSlot() {
  while (true) {
    std::uint64_t Seen = this->Changed.generation();
    {
      std::lock_guard Lock(this->Guard);
      if (this->SlotsUsed < this->Options.Member.Slots) {
        ++this->SlotsUsed;
        co_return;
      }
    }
    co_await this->Changed.wait(Seen, WaitStep);
  }
}

Awaitable<void> MemberServer::State::waitUntilOver(WaitRequest Request) {
  TimePoint Until = this->Time.now() + Request.Timeout;
  while (true) {
    std::uint64_t Seen = this->Changed.generation();
    TimePoint Now = this->Time.now();
    {
      std::lock_guard Lock(this->Guard);
      if (Now >= Until || this->Member.waitIsOver(Request, Now))
        co_return;
    }
    // Applying is due by time, not by a notice: look again soon.
    Duration Step =
        Request.UntilApplied ? std::chrono::milliseconds(1) : WaitStep;
    co_await this->Changed.wait(Seen, std::min(Step, Duration(Until - Now)));
  }
}

Awaitable<HttpReply>
MemberServer::State::handleReplicate(const HttpRequest &Request) {
  auto Decoded =
      toOutcome([&] { return decodeReplicationRequest(Request.Body); });
  if (!Decoded)
    co_return replyWith(Decoded.error());
  TimePoint Until = this->Time.now() + ReplicationPoll;
  while (true) {
    std::uint64_t Seen = this->Changed.generation();
    std::optional<Outcome<ReplicationBatch>> Batch;
    {
      std::lock_guard Lock(this->Guard);
      Batch = this->Member.replicate(Decoded.value());
    }
    if (!*Batch)
      co_return replyWith(Batch->error());
    bool News = !Batch->value().Entries.empty() ||
                Batch->value().History != Decoded.value().History ||
                Batch->value().After < Decoded.value().Received.Position;
    TimePoint Now = this->Time.now();
    if (News || Now >= Until) {
      HttpReply Reply;
      Reply.Body = encodeBatch(Batch->value());
      co_return Reply;
    }
    co_await this->Changed.wait(Seen, Until - Now);
  }
}

Awaitable<void> MemberServer::State::replicateForever() {
  while (true) {
    bool Idle = false;
    {
      std::lock_guard Lock(this->Guard);
      if (this->Closed)
        co_return;
      Idle = this->Faults.Paused || this->Faults.ReplicationCut;
    }
    bool Progress = false;
    if (!Idle)
      Progress = co_await this->replicateOnce();
    if (!Progress)
      co_await sleepFor(ReplicationRetry);
  }
}

void MemberServer::State::endOldReplication() {
  std::shared_ptr<HttpConnection> Old;
  {
    std::lock_guard Lock(this->Guard);
    auto Wanted = this->Member.replicationRequest();
    bool Same = Wanted && Wanted->Primary == this->ConnectedTo;
    if (!Same)
      Old = std::exchange(this->ToPrimary, nullptr);
  }
  // A request under way there would keep the next primary waiting.
  if (Old)
    Old->close();
}

Awaitable<bool> MemberServer::State::replicateOnce() {
  std::optional<ReplicationRequest> Request;
  std::shared_ptr<HttpConnection> Connection;
  bool Connected = false;
  {
    std::lock_guard Lock(this->Guard);
    Request = this->Member.replicationRequest();
    Connection = this->ToPrimary;
    Connected = Request && Connection && Connection->usable() &&
                this->ConnectedTo == Request->Primary;
  }
  if (!Request)
    co_return false;
  if (!Connected) {
    auto Found = std::find_if(
        this->Options.Others.begin(), this->Options.Others.end(),
        [&](const MemberAddress &M) { return M.Id == Request->Primary; });
    if (Found == this->Options.Others.end())
      co_return false;
    auto Opened =
        co_await HttpConnection::open(this->On, Found->Where, ReplicationLimit);
    if (!Opened)
      co_return false;
    Connection = Opened.value();
    std::lock_guard Lock(this->Guard);
    this->ToPrimary = Connection;
    this->ConnectedTo = Request->Primary;
  }
  HttpRequest Message;
  Message.Target = std::string(ReplicateTarget);
  Message.Body = encodeReplicationRequest(*Request);
  auto Reply =
      co_await Connection->exchange(std::move(Message), ReplicationLimit);
  if (!Reply || Reply.value().Status != HttpOk)
    co_return false;
  auto Batch = toOutcome([&] { return decodeBatch(Reply.value().Body); });
  if (!Batch)
    co_return false;
  {
    std::lock_guard Lock(this->Guard);
    if (this->Faults.ReplicationCut || this->Faults.Paused)
      co_return false;
    this->Member.onReplicated(Batch.value(), this->Time.now());
  }
  this->Changed.notify();
  co_return true;
}

} // namespace turmericpitch
