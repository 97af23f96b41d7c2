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
/// How long a primary holds a replication request open if it has no new
/// entries.
constexpr Duration ReplicationPollTimeout = std::chrono::milliseconds(50);
constexpr Duration ReplicationTimeout = std::chrono::seconds(1);
constexpr Duration ReplicationRetry = std::chrono::milliseconds(20);
constexpr Duration PausePollInterval = std::chrono::milliseconds(10);
constexpr Duration WaitPollInterval = std::chrono::milliseconds(50);

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
  Faults.ReplicationBlocked = Reader.flag("replication_cut", false);
  Faults.ApplyLag = Reader.milliseconds("apply_lag_ms").value_or(Duration{0});
  BOOST_LEAF_CHECK(Reader.finish());
  return Faults;
}

bool usesSlot(const MemberRequest &Request) {
  return std::holds_alternative<ExecuteRequest>(Request) ||
         std::holds_alternative<CommitRequest>(Request);
}

/// Makes an error reply that names the request, so that the client can't
/// mistake it for the reply to another one.
HttpReply makeErrorReply(const Error &Failure, const MemberRequest &Request) {
  HttpReply Reply = replyWith(Failure);
  Reply.Body = encodeMemberError(Failure, requestIdOf(Request));
  return Reply;
}

bool usesSession(const MemberRequest &Request) {
  return usesSlot(Request) || std::holds_alternative<BeginRequest>(Request);
}

} // namespace

struct MemberServer::State : std::enable_shared_from_this<State> {
  State(const Executor &Exec, MemberServerOptions Options)
      : Exec(asio::make_strand(Exec)), Options(std::move(Options)),
        Member(this->Options.Member) {
    this->Member.bootstrap(this->Options.FirstPrimary);
  }

  /// The database session of one client connection. It is opened by the first
  /// statement and closed with the connection.
  struct Session {
    explicit Session(std::shared_ptr<State> Owner) : Owner(std::move(Owner)) {}
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;
    ~Session() {
      std::lock_guard Lock(this->Owner->Mutex);
      if (this->Id)
        this->Owner->Member.disconnect(*this->Id);
    }

    std::shared_ptr<State> Owner;
    std::optional<ConnectionId> Id;
  };

  Awaitable<HttpReply> handle(HttpRequest Request,
                              std::shared_ptr<Session> ClientSession);
  Awaitable<HttpReply> handleMember(const HttpRequest &Request,
                                    std::shared_ptr<Session> ClientSession);
  Awaitable<Status> openSession(std::shared_ptr<Session> ClientSession);
  Awaitable<void> acquireSlot();
  Awaitable<void> waitForEntry(WaitRequest Request);
  Awaitable<HttpReply> handleReplicate(const HttpRequest &Request);
  Awaitable<void> runReplication();
  Awaitable<bool> replicateOnce();
  /// Closes the connection to a primary that is no longer followed.
  void closeStaleReplication();
  Awaitable<void> waitWhilePaused();

  Executor Exec;
  MemberServerOptions Options;
  std::mutex Mutex;
  MemberStandIn Member;
  MemberFaults Faults;
  std::uint32_t SlotsUsed = 0;
  bool Closed = false;
  ChangeSignal Changed;
  MonotonicClock Time;
  std::shared_ptr<HttpConnection> PrimaryConnection;
  UpstreamId ConnectedPrimary;
};

MemberServer::MemberServer(Executor Exec, MemberServerOptions Options)
    : Shared(std::make_shared<State>(Exec, Options)),
      Server(Exec, HttpServerOptions{.Listen = Options.Listen},
             [Shared = this->Shared]() -> HttpHandler {
               auto ClientSession = std::make_shared<State::Session>(Shared);
               return [Shared, ClientSession](
                          HttpRequest Request) -> Awaitable<HttpReply> {
                 return Shared->handle(std::move(Request), ClientSession);
               };
             }) {}

MemberServer::~MemberServer() { this->close(); }

Status MemberServer::start() {
  Status Started = this->Server.start();
  if (!Started)
    return Started;
  auto Self = this->Shared;
  asio::co_spawn(
      Self->Exec,
      [Self]() -> Awaitable<void> { co_await Self->runReplication(); },
      asio::detached);
  return Started;
}

void MemberServer::close() {
  {
    std::lock_guard Lock(this->Shared->Mutex);
    this->Shared->Closed = true;
  }
  this->Server.close();
  this->Shared->Changed.notify();
}

void MemberServer::setFaults(const MemberFaults &Faults) {
  {
    std::lock_guard Lock(this->Shared->Mutex);
    this->Shared->Faults = Faults;
    this->Shared->Member.options().ApplyLag = Faults.ApplyLag;
  }
  this->Shared->Changed.notify();
}

MemberStatus MemberServer::status() const {
  std::lock_guard Lock(this->Shared->Mutex);
  return this->Shared->Member.status(this->Shared->Time.now());
}

std::uint64_t MemberServer::truncatedEntries() const {
  std::lock_guard Lock(this->Shared->Mutex);
  return this->Shared->Member.truncatedEntries();
}

Awaitable<void> MemberServer::State::waitWhilePaused() {
  while (true) {
    {
      std::lock_guard Lock(this->Mutex);
      if (!this->Faults.Paused || this->Closed)
        co_return;
    }
    co_await sleepFor(PausePollInterval);
  }
}

Awaitable<HttpReply>
MemberServer::State::handle(HttpRequest Request,
                            std::shared_ptr<Session> ClientSession) {
  auto Self = this->shared_from_this();
  if (Request.Target == FaultsTarget) {
    auto Read = toOutcome([&] { return readFaults(Request.Body); });
    if (!Read)
      co_return replyWith(Read.error());
    {
      std::lock_guard Lock(this->Mutex);
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
    Reply = co_await this->handleMember(Request, ClientSession);
  // A pause that began during the request also delays the reply.
  co_await this->waitWhilePaused();
  co_return Reply;
}

Awaitable<HttpReply>
MemberServer::State::handleMember(const HttpRequest &Request,
                                  std::shared_ptr<Session> ClientSession) {
  auto Decoded = toOutcome(
      [&] { return decodeMemberRequest(Request.Target, Request.Body); });
  if (!Decoded)
    co_return replyWith(Decoded.error());
  const MemberRequest &Wanted = Decoded.value();
  if (usesSession(Wanted)) {
    Status Opened = co_await this->openSession(ClientSession);
    if (!Opened)
      co_return makeErrorReply(Opened.error(), Wanted);
  }
  bool NeedsSlot = usesSlot(Wanted);
  if (NeedsSlot) {
    co_await this->acquireSlot();
    co_await sleepFor(this->Options.StatementTime);
  }
  if (const auto *Wait = std::get_if<WaitRequest>(&Wanted))
    co_await this->waitForEntry(*Wait);
  std::optional<Outcome<MemberAnswer>> Answer;
  {
    std::lock_guard Lock(this->Mutex);
    if (NeedsSlot)
      --this->SlotsUsed;
    Answer = this->Member.handle(ClientSession->Id.value_or(ConnectionId{}),
                                 Wanted, this->Time.now());
  }
  this->closeStaleReplication();
  this->Changed.notify();
  if (!*Answer)
    co_return makeErrorReply(Answer->error(), Wanted);
  HttpReply Reply;
  Reply.Body = encodeMemberAnswer(Answer->value());
  co_return Reply;
}

Awaitable<Status>
MemberServer::State::openSession(std::shared_ptr<Session> ClientSession) {
  {
    std::lock_guard Lock(this->Mutex);
    if (ClientSession->Id)
      co_return std::monostate{};
    auto Connected = this->Member.connect();
    if (!Connected)
      co_return Connected.error();
    ClientSession->Id = Connected.value();
  }
  co_await sleepFor(this->Options.ConnectTime);
  co_return std::monostate{};
}

Awaitable<void> MemberServer::State::acquireSlot() {
  while (true) {
    std::uint64_t Generation = this->Changed.generation();
    {
      std::lock_guard Lock(this->Mutex);
      if (this->SlotsUsed < this->Options.Member.Slots) {
        ++this->SlotsUsed;
        co_return;
      }
    }
    co_await this->Changed.wait(Generation, WaitPollInterval);
  }
}

Awaitable<void> MemberServer::State::waitForEntry(WaitRequest Request) {
  TimePoint Until = this->Time.now() + Request.Timeout;
  while (true) {
    std::uint64_t Generation = this->Changed.generation();
    TimePoint Now = this->Time.now();
    {
      std::lock_guard Lock(this->Mutex);
      if (Now >= Until || this->Member.waitIsOver(Request, Now))
        co_return;
    }
    // An entry becomes visible when its apply lag has passed, without a
    // notification, so poll more often.
    Duration Step =
        Request.UntilApplied ? std::chrono::milliseconds(1) : WaitPollInterval;
    co_await this->Changed.wait(Generation,
                                std::min(Step, Duration(Until - Now)));
  }
}

Awaitable<HttpReply>
MemberServer::State::handleReplicate(const HttpRequest &Request) {
  auto Decoded =
      toOutcome([&] { return decodeReplicationRequest(Request.Body); });
  if (!Decoded)
    co_return replyWith(Decoded.error());
  TimePoint Until = this->Time.now() + ReplicationPollTimeout;
  while (true) {
    std::uint64_t Generation = this->Changed.generation();
    std::optional<Outcome<ReplicationBatch>> Batch;
    {
      std::lock_guard Lock(this->Mutex);
      Batch = this->Member.replicate(Decoded.value());
    }
    if (!*Batch)
      co_return replyWith(Batch->error());
    bool HasUpdate = !Batch->value().Entries.empty() ||
                     Batch->value().History != Decoded.value().History ||
                     Batch->value().After < Decoded.value().Received.Position;
    TimePoint Now = this->Time.now();
    if (HasUpdate || Now >= Until) {
      HttpReply Reply;
      Reply.Body = encodeBatch(Batch->value());
      co_return Reply;
    }
    co_await this->Changed.wait(Generation, Until - Now);
  }
}

Awaitable<void> MemberServer::State::runReplication() {
  while (true) {
    bool Suspended = false;
    {
      std::lock_guard Lock(this->Mutex);
      if (this->Closed)
        co_return;
      Suspended = this->Faults.Paused || this->Faults.ReplicationBlocked;
    }
    bool Progress = false;
    if (!Suspended)
      Progress = co_await this->replicateOnce();
    if (!Progress)
      co_await sleepFor(ReplicationRetry);
  }
}

void MemberServer::State::closeStaleReplication() {
  std::shared_ptr<HttpConnection> Old;
  {
    std::lock_guard Lock(this->Mutex);
    auto Wanted = this->Member.replicationRequest();
    bool StillFollowed = Wanted && Wanted->Primary == this->ConnectedPrimary;
    if (!StillFollowed)
      Old = std::exchange(this->PrimaryConnection, nullptr);
  }
  // A request in progress on the old connection would delay replication from
  // the new primary.
  if (Old)
    Old->close();
}

Awaitable<bool> MemberServer::State::replicateOnce() {
  std::optional<ReplicationRequest> Request;
  std::shared_ptr<HttpConnection> Connection;
  bool Connected = false;
  {
    std::lock_guard Lock(this->Mutex);
    Request = this->Member.replicationRequest();
    Connection = this->PrimaryConnection;
    Connected = Request && Connection && Connection->usable() &&
                this->ConnectedPrimary == Request->Primary;
  }
  if (!Request)
    co_return false;
  if (!Connected) {
    auto Found = std::find_if(
        this->Options.Others.begin(), this->Options.Others.end(),
        [&](const MemberAddress &M) { return M.Id == Request->Primary; });
    if (Found == this->Options.Others.end())
      co_return false;
    auto Opened = co_await HttpConnection::open(this->Exec, Found->Address,
                                                ReplicationTimeout);
    if (!Opened)
      co_return false;
    Connection = Opened.value();
    std::lock_guard Lock(this->Mutex);
    this->PrimaryConnection = Connection;
    this->ConnectedPrimary = Request->Primary;
  }
  HttpRequest Message;
  Message.Target = std::string(ReplicateTarget);
  Message.Body = encodeReplicationRequest(*Request);
  auto Reply =
      co_await Connection->exchange(std::move(Message), ReplicationTimeout);
  if (!Reply || Reply.value().Status != HttpOk)
    co_return false;
  auto Batch = toOutcome([&] { return decodeBatch(Reply.value().Body); });
  if (!Batch)
    co_return false;
  {
    std::lock_guard Lock(this->Mutex);
    if (this->Faults.ReplicationBlocked || this->Faults.Paused)
      co_return false;
    this->Member.onReplicated(Batch.value(), this->Time.now());
  }
  this->Changed.notify();
  co_return true;
}

} // namespace turmericpitch
