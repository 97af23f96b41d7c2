#include "Group.h"

#include "Sockets.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>
#include <thread>

namespace lab {

namespace {

constexpr int Conflict = 409;

std::string takeWord(std::string &Rest) {
  std::size_t Blank = Rest.find(' ');
  std::string Word = Rest.substr(0, Blank);
  Rest = Blank == std::string::npos ? "" : Rest.substr(Blank + 1);
  return Word;
}

std::pair<std::uint64_t, std::size_t>
positionOf(const std::vector<Entry> &Entries) {
  return {Entries.empty() ? 0 : Entries.back().Term, Entries.size()};
}

std::string textOf(const std::vector<Entry> &Entries) {
  auto [Term, Count] = positionOf(Entries);
  return std::to_string(Term) + "." + std::to_string(Count);
}

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

Group::Group(Record &Log, GroupOptions Options)
    : Log(Log), Options(std::move(Options)) {}

void Group::start(Store &Registry, const std::vector<std::string> &Ids,
                  PromotedHandler OnPromoted) {
  this->OnPromoted = std::move(OnPromoted);
  {
    std::lock_guard Lock(this->Mutex);
    for (const std::string &Id : Ids) {
      Member &At = this->Members[Id];
      At.Id = Id;
      At.Primary = Id == Ids.front();
      At.Born = unixMilliseconds();
      this->listen(At);
    }
  }
  std::thread([this, &Registry] {
    while (true) {
      this->tick(Registry);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }).detach();
}

void Group::listen(Member &At) {
  At.Listener = listenAt(this->Options.Ip, At.Port);
  At.Port = portOf(At.Listener);
  At.Up = true;
  ++At.Start;
  std::thread([this, &At, Start = At.Start, Listener = At.Listener] {
    while (true) {
      int Handle = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      std::lock_guard Lock(this->Mutex);
      if (At.Start != Start || !At.Up) {
        if (Handle >= 0)
          ::close(Handle);
        return;
      }
      if (Handle < 0)
        continue;
      At.Open.insert(Handle);
      std::thread([this, &At, Start, Handle] {
        this->serve(At, Start, Handle);
      }).detach();
    }
  }).detach();
}

void Group::crash(const std::vector<std::string> &Ids) {
  std::lock_guard Lock(this->Mutex);
  for (const std::string &Id : Ids) {
    Member &At = this->Members.at(Id);
    this->Log.write("member " + Id + " crashes at " + textOf(At.Entries));
    At.Up = false;
    ::shutdown(At.Listener, SHUT_RDWR);
    ::close(At.Listener);
    for (int Handle : At.Open)
      ::shutdown(Handle, SHUT_RDWR);
    if (!At.Primary)
      At.Entries.clear();
  }
  this->Received.notify_all();
}

void Group::restart(const std::string &Id,
                    std::chrono::milliseconds EntryDelay) {
  std::lock_guard Lock(this->Mutex);
  Member &At = this->Members.at(Id);
  for (auto &[Other, Each] : this->Members)
    if (Each.Term > At.Term && At.Primary)
      At.Primary = false;
  At.Born = unixMilliseconds();
  At.NextBeatAt = Clock::now() + EntryDelay;
  this->listen(At);
  this->Log.write("member " + Id + " starts again as " +
                  (At.Primary ? "primary" : "replica") + " at " +
                  textOf(At.Entries));
}

void Group::setDeaf(const std::string &Id, bool Deaf) {
  std::lock_guard Lock(this->Mutex);
  this->Members.at(Id).Deaf = Deaf;
  this->Log.write("member " + Id +
                  (Deaf ? " receives nothing" : " receives again"));
}

Group::Member *Group::leader() {
  Member *Newest = nullptr;
  for (auto &[Id, Each] : this->Members)
    if (Each.Up && Each.Primary && (!Newest || Each.Term > Newest->Term))
      Newest = &Each;
  return Newest;
}

void Group::cutFromStore(const std::string &Id) {
  constexpr std::chrono::milliseconds Before(40);
  constexpr std::chrono::milliseconds Poll(5);
  std::unique_lock Lock(this->Mutex);
  Member &At = this->Members.at(Id);
  while (At.NextBeatAt - Clock::now() > Before) {
    Lock.unlock();
    std::this_thread::sleep_for(Poll);
    Lock.lock();
  }
  At.CutFromStore = true;
  this->Log.write("member " + Id + " is cut off from the store");
}

void Group::reachStore(const std::string &Id) {
  std::lock_guard Lock(this->Mutex);
  this->Members.at(Id).CutFromStore = false;
  this->Log.write("member " + Id + " reaches the store again");
}

std::string Group::primary() {
  std::lock_guard Lock(this->Mutex);
  Member *Leader = this->leader();
  return Leader ? Leader->Id : "";
}

void Group::replicate() {
  Member *Leader = this->leader();
  if (!Leader)
    return;
  for (auto &[Id, Each] : this->Members) {
    if (&Each == Leader || !Each.Up || Each.Deaf)
      continue;
    Each.Primary = false;
    Each.Term = Leader->Term;
    Each.Entries = Leader->Entries;
  }
  this->Received.notify_all();
}

void Group::tick(Store &Registry) {
  std::vector<std::pair<std::string, std::string>> Changes;
  {
    std::lock_guard Lock(this->Mutex);
    this->replicate();
    auto Now = Clock::now();
    for (auto &[Id, Each] : this->Members) {
      std::string Next = boost::json::serialize(boost::json::object{
          {"service", this->Options.Service},
          {"addr", this->Options.Ip + ":" + std::to_string(Each.Port)},
          {"zone", "a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_left_ms", 0},
          {"seq", 1},
          {"born", Each.Born},
          {"db_role", Each.Primary ? "primary" : "replica"}});
      // A heartbeat that changes nothing isn't written.
      bool RoleChanged = Each.Primary != Each.StoredPrimary;
      bool Beats = Each.Up && !Each.CutFromStore &&
                   (Now >= Each.NextBeatAt ||
                    (RoleChanged && !Each.StoredEntry.empty()));
      while (Each.NextBeatAt <= Now)
        Each.NextBeatAt = std::max(Each.NextBeatAt + this->Options.Heartbeat,
                                   Now - this->Options.Heartbeat);
      if (Beats)
        Each.LastBeatAt = Now;
      bool Expired = Now - Each.LastBeatAt > 3 * this->Options.Heartbeat;
      if (Expired)
        Next = "";
      if ((!Beats && !Expired) || Next == Each.StoredEntry)
        continue;
      Each.StoredPrimary = Each.Primary;
      Each.StoredEntry = Next;
      Changes.emplace_back("servers/" + Id, Next);
      this->Log.write(
          "member " + Id +
          (Next.empty() ? ": its entry is removed" : " writes its entry"));
    }
  }
  for (const auto &[Key, Value] : Changes)
    Value.empty() ? Registry.remove(Key) : Registry.put(Key, Value);
}

int Group::promote(const std::string &Id, std::uint64_t Token) {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Members.find(Id);
  bool Runs = Found != this->Members.end() && Found->second.Up;
  this->Log.write("promote " + Id + ", token " + std::to_string(Token) +
                  (Runs ? "" : ": not running"));
  if (!Runs)
    return Conflict;
  std::thread([this, Id, Start = Found->second.Start] {
    std::this_thread::sleep_for(this->Options.PromoteTime);
    std::lock_guard Later(this->Mutex);
    Member &At = this->Members.at(Id);
    if (!At.Up || At.Start != Start || this->leader() == &At)
      return;
    std::uint64_t Newest = 0;
    for (const auto &[Other, Each] : this->Members)
      Newest = std::max(Newest, Each.Term);
    At.Primary = true;
    At.Term = Newest + 1;
    this->Log.write("member " + Id + " leads term " + std::to_string(At.Term) +
                    " at " + textOf(At.Entries));
    this->OnPromoted(Id, At.Entries);
  }).detach();
  return 200;
}

void Group::serve(Member &At, int Start, int Handle) {
  Reader From(Handle);
  Session With;
  bool Opened = false;
  while (auto Line = From.line()) {
    std::string Rest = *Line;
    std::string Word = takeWord(Rest);
    std::unique_lock Lock(this->Mutex);
    if (!At.Up || At.Start != Start || Word == "TERMINATE")
      break;
    std::string Reply;
    if (Word == "STARTUP") {
      std::string Service = takeWord(Rest);
      takeWord(Rest);
      Opened =
          Service == this->Options.Service && (Rest.empty() || Rest == At.Id);
      Reply = Opened ? "READY I " + textOf(At.Entries) + "\r\n"
                     : "ERROR WRONGNODE " + At.Id + "\r\n";
    } else if (Word == "QUERY" && Opened) {
      std::string Id = takeWord(Rest);
      Reply = this->answer(At, With, Id, Rest, Lock);
    }
    bool Answered = At.Up && At.Start == Start && !Reply.empty();
    Lock.unlock();
    if (!Answered || !sendAll(Handle, Reply) || !Opened)
      break;
  }
  std::lock_guard Lock(this->Mutex);
  At.Open.erase(Handle);
  ::close(Handle);
}

std::string Group::answer(Member &At, Session &With, const std::string &Id,
                          std::string Text,
                          std::unique_lock<std::mutex> &Lock) {
  std::string Body;
  if (Text.starts_with("AFTERLSN ")) {
    takeWord(Text);
    std::istringstream Needed(takeWord(Text));
    std::uint64_t Term = 0;
    std::size_t Count = 0;
    char Dot = 0;
    Needed >> Term >> Dot >> Count;
    if (positionOf(At.Entries) < std::pair(Term, Count))
      Body = "ERROR LAGGING " + At.Id + "\r\n";
  }
  if (Body.empty())
    Body = this->run(At, With, Id, Text, Lock);
  if (Body.starts_with("ERROR") && With.InTransaction)
    With.Failed = true;
  std::string State = With.Failed ? "E" : With.InTransaction ? "T" : "I";
  return Body + "READY " + State + " " + textOf(At.Entries) + "\r\n";
}

std::string Group::run(Member &At, Session &With, const std::string &Id,
                       const std::string &Text,
                       std::unique_lock<std::mutex> &Lock) {
  std::string Done = "COMPLETE -\r\n";
  std::string Signed = "COMPLETE " + At.Id + "." + Id + "\r\n";
  std::string Rest = Text;
  std::string Word = takeWord(Rest);
  if (Word == "STATUS" || Word == "STEPDOWN") {
    if (Word == "STEPDOWN" && At.Term < std::stoull(Rest))
      At.Primary = false;
    return "DATAROW " + std::string(At.Primary ? "primary" : "replica") + " " +
           std::to_string(At.Term) + " " + textOf(At.Entries) + " 0 0 0 " +
           std::to_string(At.Open.size()) + "\r\n" + Done;
  }
  if (Word == "ROLLBACK" || (Word == "COMMIT" && With.Failed)) {
    With.Pending.clear();
    With.InTransaction = With.Failed = false;
    return Word == "ROLLBACK" ? Done : "ERROR ABORTED " + At.Id + "\r\n";
  }
  if (With.Failed)
    return "ERROR MALFORMED " + At.Id + "\r\n";
  if (Word == "SET" || Word == "DEALLOC")
    return Done;
  if (Word == "DISCARD") {
    With.Prepared.clear();
    return Done;
  }
  if (Word == "PREPARE") {
    std::string Name = takeWord(Rest);
    With.Prepared[Name] = takeWord(Rest) == "WRITE";
    return Done;
  }
  if (Word == "BEGIN") {
    if (Rest.empty() && !At.Primary)
      return "ERROR READONLY " + At.Id + "\r\n";
    With.InTransaction = true;
    return Done;
  }
  if (Word == "EXECUTE") {
    auto Known = With.Prepared.find(takeWord(Rest));
    if (Known == With.Prepared.end())
      return "ERROR NOSTMT " + At.Id + "\r\n";
    Word = Known->second ? "WRITE" : "READ";
  }
  if (Word == "READ") {
    std::string Rows;
    for (const Entry &Each : At.Entries)
      if (Each.Item == Rest)
        Rows += "DATAROW " + Each.Data + "\r\n";
    return Rows + Signed;
  }
  bool Commits = Word == "COMMIT";
  if (!Commits && Word != "WRITE")
    return "ERROR MALFORMED " + At.Id + "\r\n";
  std::string Item = Commits ? "" : takeWord(Rest);
  if (!At.Primary && !(Commits && With.Pending.empty()))
    return "ERROR READONLY " + At.Id + "\r\n";
  if (!Commits)
    With.Pending.push_back(
        {.Term = At.Term, .Id = Id, .Item = Item, .Data = Rest});
  if (!Commits && With.InTransaction)
    return Signed;
  With.InTransaction = false;
  return this->commit(At, std::exchange(With.Pending, {}), Lock) ? Signed : "";
}

bool Group::commit(Member &At, std::vector<Entry> Added,
                   std::unique_lock<std::mutex> &Lock) {
  constexpr auto LongestWait = std::chrono::seconds(20);
  if (Added.empty())
    return true;
  int Start = At.Start;
  for (Entry &Each : Added)
    At.Entries.push_back(std::move(Each));
  std::size_t Needed = At.Entries.size();
  std::string Last = At.Entries.back().Id;
  this->replicate();
  auto Enough = [&] {
    int Holders = 0;
    for (const auto &[Id, Each] : this->Members)
      Holders += &Each != &At && Each.Up && Each.Entries.size() >= Needed &&
                         Each.Entries[Needed - 1].Id == Last
                     ? 1
                     : 0;
    return Holders >= this->Options.SyncReplicas;
  };
  this->Received.wait_for(Lock, LongestWait, [&] {
    return !At.Up || At.Start != Start || !At.Primary || Enough();
  });
  return At.Up && At.Start == Start && At.Primary && Enough();
}

} // namespace lab
