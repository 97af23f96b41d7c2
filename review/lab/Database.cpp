#include "review/lab/Lab.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <sstream>

namespace review {

namespace json = boost::json;

namespace {

constexpr Milliseconds HeartbeatInterval(1200);
/// The time for which a new connection occupies a slot.
constexpr Milliseconds HandshakeTime(12);

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::pair<std::uint64_t, std::uint64_t> parsePosition(const std::string &Text) {
  std::istringstream In(Text);
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  char Dot = 0;
  In >> Term >> Dot >> Number;
  return {Term, Number};
}

} // namespace

struct Database::Member {
  explicit Member(asio::io_context &Loop) : Acceptor(Loop) {}

  std::string Id;
  std::string Zone;
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  bool Leads = false;
  bool Down = false;
  bool Deaf = false;
  bool Draining = false;
  std::uint64_t Term = 1;
  std::uint64_t Born = 0;
  std::uint64_t Sequence = 0;
  /// Distinguishes the starts of the member.
  std::uint64_t Start = 0;
  std::vector<LogEntry> Log;
  /// When each entry of the log was received.
  std::vector<SteadyClock::time_point> ReceivedAt;
  std::size_t Applied = 0;
  std::size_t BusySlots = 0;
  std::deque<std::shared_ptr<asio::steady_timer>> Waiting;
  tcp::acceptor Acceptor;
  std::set<std::shared_ptr<Connection>> Connections;

  [[nodiscard]] std::string position(std::size_t Length) const {
    std::uint64_t In = Length == 0 ? 1 : this->Log[Length - 1].Term;
    return std::to_string(In) + "." + std::to_string(Length);
  }
};

struct Database::Connection {
  Connection(std::shared_ptr<Member> At, tcp::socket Stream)
      : At(std::move(At)), Stream(std::move(Stream)) {}

  std::shared_ptr<Member> At;
  tcp::socket Stream;
  bool InTransaction = false;
  bool Failed = false;
  bool ReadOnly = false;
  std::vector<LogEntry> Pending;
  std::map<std::string, bool> Prepared;
};

Database::Database(Lab &Owner, Store &Registry, DatabaseOptions Options)
    : Owner(Owner), Registry(Registry), Options(std::move(Options)) {
  for (std::size_t Index = 0; Index < this->Options.Zones.size(); ++Index) {
    auto Each = std::make_shared<Member>(Owner.Loop);
    Each->Id = this->memberId(Index);
    Each->Zone = this->Options.Zones[Index];
    Each->Leads = Index == 0;
    Each->Born = unixMilliseconds();
    this->Members[Each->Id] = Each;
    this->listen(Each);
  }
  Owner.spawn(this->replicate());
  Owner.spawn(this->beat());
}

std::string Database::memberId(std::size_t Index) const {
  return "i-" + this->Options.Service + "-" + std::to_string(Index + 1);
}

void Database::listen(const std::shared_ptr<Member> &At) {
  tcp::endpoint Where(asio::ip::make_address(At->Address), At->Port);
  At->Acceptor = tcp::acceptor(this->Owner.Loop);
  At->Acceptor.open(Where.protocol());
  At->Acceptor.set_option(asio::socket_base::reuse_address(true));
  At->Acceptor.bind(Where);
  At->Acceptor.listen();
  At->Port = At->Acceptor.local_endpoint().port();
  this->Owner.spawn(this->accept(At, ++At->Start));
}

Awaitable<void> Database::accept(std::shared_ptr<Member> At,
                                 std::uint64_t Start) {
  while (At->Start == Start && !At->Down) {
    boost::system::error_code Failure;
    tcp::socket Connected = co_await At->Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure)
      co_return;
    this->Owner.spawn(this->serve(At, std::move(Connected)));
  }
}

Awaitable<void> Database::serve(std::shared_ptr<Member> At,
                                tcp::socket Connected) {
  boost::system::error_code Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  auto From = std::make_shared<Connection>(At, std::move(Connected));
  From->Stream.set_option(tcp::no_delay(true), Failure);
  At->Connections.insert(From);
  std::string Buffer;
  bool Started = false;
  while (From->Stream.is_open()) {
    std::size_t Length = co_await asio::async_read_until(
        From->Stream, asio::dynamic_buffer(Buffer, 1024 * 1024), "\r\n", Token);
    if (Failure)
      break;
    std::string Rest = Buffer.substr(0, Length - 2);
    Buffer.erase(0, Length);
    std::string Word = takeWord(Rest);
    std::string Reply;
    bool Ends = false;
    if (Word == "STARTUP" && !Started) {
      std::string Service = takeWord(Rest);
      takeWord(Rest);
      bool Wrong =
          Service != this->Options.Service || (!Rest.empty() && Rest != At->Id);
      bool Full = At->Connections.size() > this->Options.MaxConnections;
      Ends = Wrong || Full;
      if (Ends) {
        Reply = Wrong ? "ERROR WRONGNODE -\r\n" : "ERROR TOOMANYCON -\r\n";
      } else {
        Started = true;
        bool Acquired = co_await this->acquireSlot(At, true);
        if (Acquired) {
          co_await this->Owner.pause(HandshakeTime);
          this->releaseSlot(*At);
        }
        Reply = "READY I " + At->position(At->Applied) + "\r\n";
      }
    } else if (Word == "QUERY" && Started) {
      std::string Id = takeWord(Rest);
      Reply = co_await this->answer(From, Id, Rest);
    } else {
      break;
    }
    if (!From->Stream.is_open())
      break;
    co_await asio::async_write(From->Stream, asio::buffer(Reply), Token);
    if (Failure || Ends)
      break;
  }
  From->Stream.close(Failure);
  At->Connections.erase(From);
}

Awaitable<bool> Database::acquireSlot(std::shared_ptr<Member> At, bool Waits) {
  if (At->BusySlots < this->Options.Slots) {
    ++At->BusySlots;
    co_return true;
  }
  if (!Waits || At->Waiting.size() >= this->Options.Queue)
    co_return false;
  auto Turn = std::make_shared<asio::steady_timer>(this->Owner.Loop,
                                                   std::chrono::hours(1));
  At->Waiting.push_back(Turn);
  boost::system::error_code Called;
  co_await Turn->async_wait(asio::redirect_error(asio::use_awaitable, Called));
  co_return true;
}

void Database::releaseSlot(Member &At) {
  if (At.Waiting.empty()) {
    At.BusySlots -= At.BusySlots > 0 ? 1 : 0;
    return;
  }
  // The next statement takes the slot over.
  At.Waiting.front()->cancel();
  At.Waiting.pop_front();
}

std::string Database::statusRow(const Member &At) const {
  std::ostringstream Row;
  Row << "DATAROW " << (At.Leads ? "primary " : "replica ") << At.Term << " "
      << At.position(At.Log.size()) << " 0 "
      << (At.Applied < At.Log.size() ? this->Options.ApplyLag.count() : 0)
      << " " << At.BusySlots << " " << At.Connections.size() << "\r\n";
  return Row.str();
}

std::string Database::sign() {
  return "COMPLETE sig-" + this->Options.Service + "-" +
         std::to_string(++this->Signatures) + "\r\n";
}

Awaitable<std::string> Database::answer(std::shared_ptr<Connection> From,
                                        std::string Id, std::string Text) {
  std::string Body;
  auto At = From->At;
  if (Text.starts_with("AFTERLSN ")) {
    takeWord(Text);
    auto Needed = parsePosition(takeWord(Text));
    if (parsePosition(At->position(At->Applied)) < Needed)
      Body = "ERROR LAGGING -\r\n";
  }
  if (Body.empty())
    Body = co_await this->run(From, Id, Text);
  if (Body.starts_with("ERROR") && !Body.starts_with("ERROR BUSY") &&
      From->InTransaction)
    From->Failed = true;
  std::string State = From->Failed ? "E" : From->InTransaction ? "T" : "I";
  co_return Body + "READY " + State + " " + At->position(At->Applied) + "\r\n";
}

Awaitable<std::string> Database::run(std::shared_ptr<Connection> From,
                                     std::string Id, std::string Text) {
  auto At = From->At;
  const std::string Done = "COMPLETE -\r\n";
  std::string Rest = Text;
  std::string Word = takeWord(Rest);
  if (Word == "STATUS" || Word == "STEPDOWN") {
    bool Acquired = co_await this->acquireSlot(At, false);
    if (!Acquired)
      co_return "ERROR BUSY -\r\n";
    this->releaseSlot(*At);
    if (Word == "STEPDOWN" && At->Leads && std::stoull(Rest) > At->Term)
      At->Leads = false;
    co_return this->statusRow(*At) + Done;
  }
  if (Word == "ROLLBACK" || (Word == "COMMIT" && From->Failed)) {
    From->Pending.clear();
    From->InTransaction = From->Failed = false;
    co_return Word == "ROLLBACK" ? Done : "ERROR ABORTED -\r\n";
  }
  if (From->Failed)
    co_return "ERROR MALFORMED -\r\n";
  if (Word == "SET")
    co_return Done;
  if (Word == "DISCARD") {
    From->Prepared.clear();
    co_return Done;
  }
  if (Word == "PREPARE") {
    std::string Name = takeWord(Rest);
    From->Prepared[Name] = takeWord(Rest) == "WRITE";
    co_return Done;
  }
  if (Word == "BEGIN") {
    if (Rest.empty() && !At->Leads)
      co_return "ERROR READONLY -\r\n";
    From->InTransaction = true;
    From->ReadOnly = !Rest.empty();
    co_return Done;
  }
  bool Writes = Word == "WRITE";
  if (Word == "EXECUTE") {
    auto Found = From->Prepared.find(takeWord(Rest));
    if (Found == From->Prepared.end())
      co_return "ERROR NOSTMT -\r\n";
    Writes = Found->second;
  } else if (Word != "READ" && Word != "WRITE" && Word != "COMMIT") {
    co_return "ERROR MALFORMED -\r\n";
  }
  bool NeedsLead =
      Writes || (Word == "COMMIT" ? !From->Pending.empty()
                                  : From->InTransaction && !From->ReadOnly);
  if (NeedsLead && !At->Leads)
    co_return "ERROR READONLY -\r\n";
  bool Acquired = co_await this->acquireSlot(At, true);
  if (!Acquired)
    co_return "ERROR BUSY -\r\n";
  std::string Item = takeWord(Rest);
  if (!Writes && Word != "COMMIT") {
    std::string Reply = co_await this->runRead(From, Id, Text, Item);
    this->releaseSlot(*At);
    co_return Reply;
  }
  std::uint64_t Start = At->Start;
  std::size_t Index = this->Runs.size();
  this->Runs.push_back({.Member = At->Id,
                        .Id = Id,
                        .Text = Text,
                        .At = this->Owner.Log.now(),
                        .EndedAt = 0});
  this->Owner.Log.line("run " + At->Id + " " + Id + " " + Text);
  co_await this->Owner.pause(this->Options.WriteTime);
  this->Runs[Index].EndedAt = this->Owner.Log.now();
  std::string Reply = this->sign();
  if (At->Start != Start || At->Down || (NeedsLead && !At->Leads)) {
    Reply = "ERROR READONLY -\r\n";
  } else if (Word == "COMMIT") {
    std::vector<LogEntry> Pending = std::move(From->Pending);
    From->Pending.clear();
    From->InTransaction = false;
    Reply = co_await this->commit(From, std::move(Pending));
  } else {
    LogEntry Entry{.Term = At->Term, .Id = Id, .Item = Item, .Data = Rest};
    std::vector<LogEntry> Alone;
    (From->InTransaction ? From->Pending : Alone).push_back(std::move(Entry));
    if (!Alone.empty())
      Reply = co_await this->commit(From, std::move(Alone));
  }
  this->releaseSlot(*At);
  co_return Reply;
}

Awaitable<std::string> Database::runRead(std::shared_ptr<Connection> From,
                                         std::string Id, std::string Text,
                                         std::string Item) {
  auto At = From->At;
  std::size_t Length = At->Applied;
  std::size_t Index = this->Runs.size();
  this->Runs.push_back({.Member = At->Id,
                        .Id = Id,
                        .Text = Text,
                        .At = this->Owner.Log.now(),
                        .EndedAt = 0});
  if (this->OnRead) {
    std::set<std::string> Applied;
    for (std::size_t Each = 0; Each < Length; ++Each)
      Applied.insert(At->Log[Each].Id);
    this->OnRead(At->Id, Id, Applied);
  }
  std::string Row = "-";
  for (std::size_t Each = 0; Each < Length; ++Each)
    if (At->Log[Each].Item == Item)
      Row = At->Log[Each].Data;
  for (const LogEntry &Each : From->Pending)
    if (Each.Item == Item)
      Row = Each.Data;
  co_await this->Owner.pause(this->Options.ReadTime);
  this->Runs[Index].EndedAt = this->Owner.Log.now();
  co_return "DATAROW " + Row + "\r\n" + this->sign();
}

Awaitable<std::string> Database::commit(std::shared_ptr<Connection> From,
                                        std::vector<LogEntry> Writes) {
  auto At = From->At;
  for (LogEntry &Each : Writes) {
    Each.Term = At->Term;
    At->Log.push_back(std::move(Each));
    At->ReceivedAt.push_back(SteadyClock::now());
  }
  At->Applied = At->Log.size();
  std::size_t Needed = At->Log.size();
  std::uint64_t Start = At->Start;
  if (!Writes.empty() && this->Options.SyncReplicas > 0) {
    bool Received = false;
    while (!Received && At->Start == Start && !At->Down &&
           At->Log.size() >= Needed) {
      co_await this->Owner.pause(Milliseconds(1));
      for (const auto &[Id, Each] : this->Members)
        Received = Received ||
                   (Each != At && !Each->Down && At->Log.size() >= Needed &&
                    Each->Log.size() >= Needed &&
                    Each->Log[Needed - 1] == At->Log[Needed - 1]);
    }
  }
  co_return this->sign();
}

std::shared_ptr<Database::Member> Database::leader() const {
  std::shared_ptr<Member> Newest;
  for (const auto &[Id, Each] : this->Members)
    if (Each->Leads && !Each->Down && (!Newest || Newest->Term < Each->Term))
      Newest = Each;
  return Newest;
}

std::string Database::primary() const {
  auto Leader = this->leader();
  return Leader ? Leader->Id : "";
}

bool Database::logHolds(const std::string &MemberId,
                        const std::string &StatementId) const {
  const auto &Log = this->Members.at(MemberId)->Log;
  return std::any_of(Log.begin(), Log.end(), [&](const LogEntry &Each) {
    return Each.Id == StatementId;
  });
}

Awaitable<void> Database::replicate() {
  while (true) {
    co_await this->Owner.pause(Milliseconds(2));
    auto Leader = this->leader();
    for (const auto &[Id, Each] : this->Members) {
      auto Now = SteadyClock::now();
      bool Follows = Leader && Each != Leader && !Each->Down && !Each->Deaf &&
                     !Each->Leads;
      if (Follows) {
        // Entries that the new primary doesn't have are rolled back.
        std::size_t Common = 0;
        while (Common < Each->Log.size() && Common < Leader->Log.size() &&
               Each->Log[Common] == Leader->Log[Common])
          ++Common;
        Each->Log.resize(Common);
        Each->ReceivedAt.resize(Common);
        Each->Applied = std::min(Each->Applied, Common);
        Each->Term = std::max(Each->Term, Leader->Term);
        for (; Common < Leader->Log.size(); ++Common) {
          Each->Log.push_back(Leader->Log[Common]);
          Each->ReceivedAt.push_back(Now);
        }
      }
      while (Each->Applied < Each->Log.size() &&
             Now - Each->ReceivedAt[Each->Applied] >= this->Options.ApplyLag)
        ++Each->Applied;
    }
  }
}

void Database::report(Member &Each) {
  this->Registry.put(
      "servers/" + Each.Id,
      json::serialize(
          json::object{{"service", this->Options.Service},
                       {"addr", Each.Address + ":" + std::to_string(Each.Port)},
                       {"zone", Each.Zone},
                       {"version", "v1"},
                       {"slots", this->Options.Slots},
                       {"state", Each.Draining ? "draining" : "ready"},
                       {"cold_left_ms", 0},
                       {"seq", ++Each.Sequence},
                       {"born", Each.Born},
                       {"db_role", Each.Leads ? "primary" : "replica"}}));
}

Awaitable<void> Database::beat() {
  while (true) {
    for (const auto &[Id, Each] : this->Members)
      if (!Each->Down)
        this->report(*Each);
    co_await this->Owner.pause(HeartbeatInterval);
  }
}

unsigned Database::promote(const std::string &Id) {
  auto Found = this->Members.find(Id);
  if (Found == this->Members.end() || Found->second->Down)
    return 409;
  if (Found->second != this->leader())
    this->Owner.spawn(this->takeOver(Found->second));
  return 200;
}

Awaitable<void> Database::takeOver(std::shared_ptr<Member> At) {
  std::uint64_t Start = At->Start;
  co_await this->Owner.pause(this->Options.PromoteTime);
  if (At->Down || At->Start != Start)
    co_return;
  std::uint64_t Newest = 0;
  for (const auto &[Id, Each] : this->Members)
    Newest = std::max(Newest, Each->Term);
  std::vector<std::shared_ptr<Member>> Former;
  for (const auto &[Id, Each] : this->Members)
    if (Each->Leads && Each != At)
      Former.push_back(Each);
  At->Term = Newest + 1;
  At->Leads = true;
  At->Deaf = false;
  At->Applied = At->Log.size();
  this->report(*At);
  this->Owner.Log.line("promoted " + At->Id + " term " +
                       std::to_string(At->Term) + " log " +
                       At->position(At->Log.size()));
  if (this->OnPromoted)
    this->OnPromoted(At->Id);
  co_await this->Owner.pause(Milliseconds(1000));
  for (const auto &Each : Former) {
    Each->Leads = false;
    if (!Each->Down)
      this->report(*Each);
  }
}

void Database::crash(const std::string &Id) {
  auto At = this->Members.at(Id);
  At->Down = true;
  ++At->Start;
  boost::system::error_code Ignored;
  At->Acceptor.close(Ignored);
  for (const auto &Each : At->Connections)
    Each->Stream.close(Ignored);
  this->Owner.Log.line("crash " + Id);
  this->Owner.spawn([this, At, Id]() -> Awaitable<void> {
    std::uint64_t Start = At->Start;
    co_await this->Owner.pause(3 * HeartbeatInterval);
    if (At->Down && At->Start == Start)
      this->Registry.remove("servers/" + Id);
  });
}

void Database::restart(const std::string &Id) {
  auto At = this->Members.at(Id);
  auto Leader = this->leader();
  At->Down = false;
  At->Leads = At->Leads && !Leader;
  At->Born = unixMilliseconds();
  At->Sequence = 0;
  At->BusySlots = 0;
  At->Waiting.clear();
  this->listen(At);
  this->report(*At);
  this->Owner.Log.line("restart " + Id);
}

void Database::setDeaf(const std::string &Id, bool Deaf) {
  this->Members.at(Id)->Deaf = Deaf;
  this->Owner.Log.line((Deaf ? "receives nothing " : "receives again ") + Id);
}

void Database::drain(const std::string &Id) {
  auto At = this->Members.at(Id);
  At->Draining = true;
  this->report(*At);
  this->Owner.Log.line("draining " + Id);
}

} // namespace review
