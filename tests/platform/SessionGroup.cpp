#include "tests/platform/SessionGroup.h"

#include "tests/support/UncheckedLines.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

std::string nextWord(std::string &Rest) {
  std::size_t Blank = Rest.find(' ');
  std::string Word = Rest.substr(0, Blank);
  Rest = Blank == std::string::npos ? "" : Rest.substr(Blank + 1);
  return Word;
}

/// Whether a statement's text is a read or a write, with or without a required
/// position.
bool isReadOrWrite(std::string Text) {
  std::string Word = nextWord(Text);
  if (Word == "AFTERLSN") {
    nextWord(Text);
    Word = nextWord(Text);
  }
  return Word == "READ" || Word == "WRITE" || Word == "EXECUTE";
}

bool isBehind(const SessionGroupMember &At, const std::string &Position) {
  std::istringstream Text(Position);
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  char Dot = 0;
  Text >> Term >> Dot >> Index;
  std::uint64_t Own = At.Log.empty() ? 0 : At.Log.back().Term;
  return std::pair(Own, At.Log.size()) < std::pair(Term, Index);
}

} // namespace

struct SessionGroup::Member {
  explicit Member(const asio::any_io_executor &Exec) : Acceptor(Exec) {}

  SessionGroupMember State;
  asio::ip::tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<Connection>> Open;
  std::size_t ConnectionLimit = SIZE_MAX;
  std::vector<std::string> Callers;
  /// Replies kept back, with their connections.
  std::vector<std::pair<std::shared_ptr<Connection>, std::string>> Held;
};

struct SessionGroup::Connection {
  /// The member that accepted this connection.
  Member *At = nullptr;
  std::shared_ptr<LineConnection> Lines;
  /// Who opened the connection, as stated at its startup.
  std::string Caller;
  bool Started = false;
  bool Ended = false;
  bool InTransaction = false;
  bool Failed = false;
  bool OnlyReads = false;
  struct Write {
    std::string Id;
    std::string Item;
    std::string Data;
  };
  std::vector<Write> Pending;
  /// Whether each prepared statement writes, by name.
  std::map<std::string, bool> Prepared;
};

SessionGroup::SessionGroup(asio::any_io_executor Exec, std::string Service)
    : Exec(std::move(Exec)), Service(std::move(Service)) {}

SessionGroup::~SessionGroup() {
  for (auto &[Id, Each] : this->Members)
    this->stop(Id);
}

Status SessionGroup::add(const std::string &Id, const Endpoint &Where) {
  auto Added = std::make_shared<Member>(this->Exec);
  Added->State.Id = Id;
  Added->State.Primary = this->Members.empty();
  Status Listens = this->listen(Added, Where);
  if (Listens)
    this->Members.emplace(Id, Added);
  return Listens;
}

Status SessionGroup::listen(const std::shared_ptr<Member> &At,
                            const Endpoint &Where) {
  boost::system::error_code Failure;
  asio::ip::tcp::endpoint Bound(asio::ip::make_address(Where.Address),
                                Where.Port);
  At->Acceptor.open(Bound.protocol(), Failure);
  At->Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  At->Acceptor.bind(Bound, Failure);
  if (!Failure)
    At->Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error{.Kind = ErrorKind::Unavailable,
                 .Message = "can't listen on " + toString(Where),
                 .Remedy = "free the address or choose another one"};
  At->State.Where = {.Address = Where.Address,
                     .Port = At->Acceptor.local_endpoint().port()};
  this->accept(At);
  return std::monostate{};
}

Status SessionGroup::start(const std::string &Id) {
  const std::shared_ptr<Member> &At = this->Members.at(Id);
  At->State.Down = false;
  return this->listen(At, At->State.Where);
}

void SessionGroup::restartEmpty(const std::string &Id) {
  Member &At = *this->Members.at(Id);
  for (const auto &Open : At.Open)
    Open->Lines->close();
  At.Open.clear();
  At.Held.clear();
  At.State.Log.clear();
}

void SessionGroup::accept(const std::shared_ptr<Member> &At) {
  At->Acceptor.async_accept([this, At](const boost::system::error_code &Failure,
                                       asio::ip::tcp::socket Connected) {
    if (Failure)
      return;
    auto From = std::make_shared<Connection>();
    From->At = At.get();
    From->Lines = std::make_shared<LineConnection>(std::move(Connected),
                                                   LineConnectionOptions{});
    At->Open.push_back(From);
    std::weak_ptr<Connection> Weak = From;
    From->Lines->start(
        [this, Weak](std::string_view Line) {
          if (auto Open = Weak.lock())
            this->onLine(Open, Line);
        },
        [Weak](const std::string &) {
          if (auto Open = Weak.lock())
            Open->Ended = true;
        });
    this->accept(At);
  });
}

void SessionGroup::onLine(const std::shared_ptr<Connection> &From,
                          std::string_view Line) {
  std::string Rest(Line);
  std::string Word = nextWord(Rest);
  if (Word == "STARTUP") {
    std::string Name = nextWord(Rest);
    From->Caller = nextWord(Rest);
    if (Name != this->Service ||
        (!Rest.empty() && Rest != From->At->State.Id)) {
      From->Lines->send(UncheckedLines::of("ERROR WRONGNODE -\r\n"));
      return From->Lines->finish();
    }
    auto &Open = From->At->Open;
    std::erase_if(Open, [](const auto &Each) { return Each->Ended; });
    if (Open.size() > From->At->ConnectionLimit) {
      From->Lines->send(UncheckedLines::of("ERROR TOOMANYCON -\r\n"));
      return From->Lines->finish();
    }
    From->At->Callers.push_back(From->Caller);
    From->Started = true;
    return From->Lines->send(UncheckedLines::of("READY I 1.0\r\n"));
  }
  if (Word != "QUERY" || !From->Started)
    return From->Lines->finish();
  std::string Id = nextWord(Rest);
  if (this->Held && Id != "-") {
    this->Waiting.push_back({.From = From, .Line = std::string(Line)});
    return;
  }
  this->answerOrHold(From, Id, Rest);
}

void SessionGroup::answerOrHold(const std::shared_ptr<Connection> &From,
                                const std::string &Id,
                                const std::string &Text) {
  std::string Reply = this->answer(*From, Id, Text);
  Member &At = *From->At;
  bool Statement = isReadOrWrite(Text);
  At.State.Statements += Statement ? 1 : 0;
  if (Statement ? At.State.RepliesHeld : At.State.SetupHeld)
    At.Held.emplace_back(From, Reply);
  else
    From->Lines->send(UncheckedLines::of(Reply));
}

std::string SessionGroup::answer(Connection &From, const std::string &Id,
                                 std::string Text) {
  const SessionGroupMember &State = From.At->State;
  std::string Body;
  this->Statements.push_back(
      {.Member = State.Id, .Caller = From.Caller, .Id = Id, .Text = Text});
  if (Text.starts_with("AFTERLSN ")) {
    nextWord(Text);
    if (isBehind(State, nextWord(Text)) || State.ApplyDelay.count() > 0)
      Body = "ERROR LAGGING -\r\n";
  }
  if (!State.Refusal.empty() && isReadOrWrite(Text))
    Body = "ERROR " + State.Refusal + " -\r\n";
  if (Body.empty())
    Body = this->run(From, Id, Text);
  if (Body.starts_with("ERROR") && From.InTransaction)
    From.Failed = true;
  std::string Mark = From.Failed ? "E" : From.InTransaction ? "T" : "I";
  std::uint64_t Term = State.Log.empty() ? 1 : State.Log.back().Term;
  return Body + "READY " + Mark + " " + std::to_string(Term) + "." +
         std::to_string(State.Log.size()) + "\r\n";
}

std::string SessionGroup::run(Connection &From, const std::string &Id,
                              const std::string &Text) {
  SessionGroupMember &State = From.At->State;
  std::string Signed = "COMPLETE signed-by-" + State.Id + "\r\n";
  std::string Done = "COMPLETE -\r\n";
  std::string Rest = Text;
  std::string Word = nextWord(Rest);
  if (Word == "STATUS") {
    std::uint64_t Term = State.Log.empty() ? 1 : State.Log.back().Term;
    return "DATAROW " + std::string(State.Primary ? "primary " : "replica ") +
           std::to_string(State.Term) + " " + std::to_string(Term) + "." +
           std::to_string(State.Log.size()) + " 0 " +
           std::to_string(State.ApplyDelay.count()) + " " +
           std::to_string(State.Busy) + " 1\r\n" + Done;
  }
  if (Word == "ROLLBACK" || (Word == "COMMIT" && From.Failed)) {
    From.Pending.clear();
    From.InTransaction = From.Failed = false;
    return Word == "ROLLBACK" ? Done : "ERROR ABORTED -\r\n";
  }
  if (From.Failed)
    return "ERROR MALFORMED -\r\n";
  if (Word == "SET")
    return Done;
  if (Word == "DISCARD") {
    From.Prepared.clear();
    return Done;
  }
  if (Word == "PREPARE") {
    std::string Name = nextWord(Rest);
    From.Prepared[Name] = nextWord(Rest) == "WRITE";
    return Done;
  }
  if (Word == "BEGIN") {
    if (Rest.empty() && !State.Primary)
      return "ERROR READONLY -\r\n";
    From.InTransaction = true;
    From.OnlyReads = !Rest.empty();
    return Done;
  }
  if (Word == "COMMIT") {
    if (!From.Pending.empty() && !State.Primary)
      return "ERROR READONLY -\r\n";
    for (const auto &Write : From.Pending)
      this->append(*From.At, Write.Id, Write.Item, Write.Data);
    From.Pending.clear();
    From.InTransaction = false;
    return Signed;
  }
  if (Word == "EXECUTE") {
    auto Found = From.Prepared.find(nextWord(Rest));
    if (Found == From.Prepared.end())
      return "ERROR NOSTMT -\r\n";
    Word = Found->second ? "WRITE" : "READ";
  }
  std::string Item = nextWord(Rest);
  if (Word == "READ") {
    std::string Row;
    for (const auto &Entry : State.Log)
      if (Entry.Item == Item)
        Row = Entry.Data;
    return "DATAROW " + Row + "\r\n" + Signed;
  }
  if (Word != "WRITE")
    return "ERROR MALFORMED -\r\n";
  if (!State.Primary)
    return "ERROR READONLY -\r\n";
  if (From.InTransaction)
    From.Pending.push_back({.Id = Id, .Item = Item, .Data = Rest});
  else
    this->append(*From.At, Id, Item, Rest);
  return Signed;
}

void SessionGroup::append(Member &At, const std::string &Id,
                          const std::string &Item, const std::string &Data) {
  At.State.Log.push_back({.Term = At.State.Term, .Item = Item, .Data = Data});
  this->SupersededCommits += At.State.Term < this->newestTerm() ? 1 : 0;
  this->Committed.insert(Id);
  this->replicate();
}

void SessionGroup::replicate() {
  auto Source = std::ranges::find_if(this->Members, [](const auto &Each) {
    return Each.second->State.Primary && !Each.second->State.Down;
  });
  if (Source == this->Members.end())
    return;
  for (auto &[Name, Each] : this->Members)
    if (!Each->State.Primary && !Each->State.ReplicationPaused &&
        !Each->State.Down)
      Each->State.Log = Source->second->State.Log;
}

void SessionGroup::holdStatements(bool Held) {
  this->Held = Held;
  if (Held)
    return;
  for (const WaitingLine &Each : std::exchange(this->Waiting, {}))
    this->onLine(Each.From, Each.Line);
}

bool SessionGroup::promote(const std::string &Id) {
  auto Found = this->Members.find(Id);
  if (Found == this->Members.end())
    return false;
  const SessionGroupMember &Target = Found->second->State;
  if (Target.RefusesPromotion || (Target.Down && !Target.CutOffByPromotion))
    return false;
  if (this->PromotionsDelayed)
    this->DelayedPromotions.push_back(Id);
  else
    this->takeEffect(*Found->second);
  return true;
}

void SessionGroup::takeEffect(Member &Promoted) {
  SessionGroupMember &Target = Promoted.State;
  std::uint64_t Newest = this->newestTerm();
  if (Target.Primary && Target.Term == Newest)
    return;
  if (!Target.CutOffByPromotion)
    for (auto &[Name, Each] : this->Members)
      Each->State.Primary = false;
  Target.Primary = true;
  Target.Term = Newest + 1;
  if (Target.CutOffByPromotion)
    this->stop(Target.Id);
  this->replicate();
}

void SessionGroup::setPromotionsDelayed(bool Delayed) {
  this->PromotionsDelayed = Delayed;
  if (Delayed)
    return;
  for (const std::string &Id : std::exchange(this->DelayedPromotions, {}))
    this->takeEffect(*this->Members.at(Id));
}

Status SessionGroup::returnAsPrimary(const std::string &Id) {
  this->Members.at(Id)->State.Primary = true;
  return this->start(Id);
}

std::uint64_t SessionGroup::newestTerm() const {
  std::uint64_t Newest = 0;
  for (const auto &[Name, Each] : this->Members)
    Newest = std::max(Newest, Each->State.Term);
  return Newest;
}

void SessionGroup::cutOffByPromotion(const std::string &Id) {
  this->Members.at(Id)->State.CutOffByPromotion = true;
}

void SessionGroup::setRefusesPromotion(const std::string &Id, bool Refuses) {
  this->Members.at(Id)->State.RefusesPromotion = Refuses;
}

void SessionGroup::setApplyDelay(const std::string &Id,
                                 std::chrono::milliseconds Delay) {
  this->Members.at(Id)->State.ApplyDelay = Delay;
}

void SessionGroup::setBusy(const std::string &Id, std::size_t Statements) {
  this->Members.at(Id)->State.Busy = Statements;
}

void SessionGroup::stop(const std::string &Id) {
  Member &At = *this->Members.at(Id);
  At.State.Down = true;
  boost::system::error_code Ignored;
  At.Acceptor.close(Ignored);
  for (const auto &Open : At.Open)
    Open->Lines->close();
  At.Open.clear();
  At.Held.clear();
}

void SessionGroup::setReplicationPaused(const std::string &Id,
                                        bool ReplicationPaused) {
  this->Members.at(Id)->State.ReplicationPaused = ReplicationPaused;
  this->replicate();
}

void SessionGroup::setConnectionLimit(const std::string &Id,
                                      std::size_t Limit) {
  this->Members.at(Id)->ConnectionLimit = Limit;
}

std::vector<std::string> SessionGroup::callers(const std::string &Id) const {
  return this->Members.at(Id)->Callers;
}

void SessionGroup::setRepliesHeld(const std::string &Id, bool RepliesHeld) {
  Member &At = *this->Members.at(Id);
  At.State.RepliesHeld = RepliesHeld;
  if (RepliesHeld)
    return;
  for (const auto &[To, Reply] : At.Held)
    To->Lines->send(UncheckedLines::of(Reply));
  At.Held.clear();
}

void SessionGroup::setSetupHeld(const std::string &Id, bool SetupHeld) {
  this->Members.at(Id)->State.SetupHeld = SetupHeld;
}

void SessionGroup::dropHeldReplies(const std::string &Id) {
  Member &At = *this->Members.at(Id);
  for (const auto &[To, Reply] : At.Held)
    To->Lines->close();
  At.Held.clear();
}

void SessionGroup::setRefusal(const std::string &Id, const std::string &Code) {
  this->Members.at(Id)->State.Refusal = Code;
}

std::size_t SessionGroup::statementCount(const std::string &Id) const {
  return this->Members.at(Id)->State.Statements;
}

std::size_t SessionGroup::statusCount(const std::string &Id) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Statements, [&](const Received &Each) {
        return Each.Member == Id && Each.Text == "STATUS";
      }));
}

bool SessionGroup::holds(const std::string &Id, const std::string &Data) const {
  return std::ranges::any_of(
      this->Members.at(Id)->State.Log,
      [&](const auto &Entry) { return Entry.Data == Data; });
}

std::size_t SessionGroup::heldCount(const std::string &Id) const {
  return this->Members.at(Id)->Held.size();
}

std::vector<SessionGroupMember> SessionGroup::members() const {
  std::vector<SessionGroupMember> All;
  for (const auto &[Id, Each] : this->Members)
    All.push_back(Each->State);
  return All;
}

std::size_t SessionGroup::commitCount(const std::string &StatementId) const {
  return this->Committed.count(StatementId);
}

} // namespace turmericpitch
