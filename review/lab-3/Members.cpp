#include "Members.h"

#include "../lab-2/Sockets.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <sstream>
#include <thread>

namespace lab {

namespace {

constexpr int Slots = 3;
constexpr std::chrono::milliseconds ReadTime(45);
constexpr std::chrono::milliseconds WriteTime(12);
constexpr std::chrono::milliseconds PromoteTime(1000);
constexpr std::chrono::milliseconds Heartbeat(1200);
constexpr std::chrono::milliseconds StepDownAfter(1000);
constexpr std::chrono::milliseconds Poll(10);
constexpr int Conflict = 409;
constexpr std::array<const char *, 3> Zones = {"sfax-a", "sfax-b", "gabes-c"};

std::string takeWord(std::string &Rest) {
  std::size_t Blank = Rest.find(' ');
  std::string Word = Rest.substr(0, Blank);
  Rest = Blank == std::string::npos ? "" : Rest.substr(Blank + 1);
  return Word;
}

} // namespace

void Members::start(Store &Registry, const std::vector<std::string> &Ids) {
  std::lock_guard Lock(this->Mutex);
  for (const std::string &Id : Ids) {
    Member &At = this->All[Id];
    At.Id = Id;
    At.Primary = Id == Ids.front();
    At.Zone = Zones.at(this->All.size() - 1);
    int Listener = listenAt("127.0.0.1", 0);
    At.Port = portOf(Listener);
    std::thread([this, &At, Listener] { this->accept(At, Listener); }).detach();
  }
  std::thread([this, &Registry] {
    while (true) {
      this->tick(Registry);
      std::this_thread::sleep_for(Poll);
    }
  }).detach();
}

void Members::accept(Member &At, int Listener) {
  while (true) {
    int Handle = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Handle < 0)
      continue;
    std::lock_guard Lock(this->Mutex);
    if (At.Down) {
      ::close(Handle);
      continue;
    }
    At.Handles.insert(Handle);
    std::thread([this, &At, Handle] { this->serve(At, Handle); }).detach();
  }
}

bool Members::isCut(const Member &At) const { return At.Zone == this->CutZone; }

bool Members::canReach(const Member &At, const Member &Other) const {
  return !At.Down && !Other.Down && this->isCut(At) == this->isCut(Other);
}

std::size_t Members::applied(const Member &At) {
  if (At.Primary)
    return At.Entries.size();
  auto Now = Clock::now();
  auto Count = std::ranges::count_if(At.Entries, [&](const LogEntry &Each) {
    return Each.ReceivedAt + At.Lag <= Now;
  });
  return static_cast<std::size_t>(Count);
}

std::string Members::position(const Member &At, std::size_t Count) {
  std::uint64_t Term = Count == 0 ? 1 : At.Entries[Count - 1].Term;
  return std::to_string(Term) + "." + std::to_string(Count);
}

Members::Member &Members::leader() {
  Member *Newest = nullptr;
  for (auto &[Id, Each] : this->All)
    if (Each.Primary && (!Newest || Each.Term > Newest->Term))
      Newest = &Each;
  return *Newest;
}

void Members::serve(Member &At, int Handle) {
  Reader From(Handle);
  Session With;
  while (auto Line = From.line()) {
    Guard Lock(this->Mutex);
    this->Changed.wait(Lock, [&] { return !this->isCut(At); });
    std::string Reply = this->answer(At, With, *Line, Lock);
    // A partition holds answers back, too.
    this->Changed.wait(Lock, [&] { return !this->isCut(At); });
    Lock.unlock();
    if (Reply.empty() || !sendAll(Handle, Reply) || !With.Open)
      break;
  }
  std::lock_guard Lock(this->Mutex);
  At.Handles.erase(Handle);
  ::close(Handle);
}

std::string Members::answer(Member &At, Session &With, const std::string &Line,
                            Guard &Lock) {
  std::string Rest = Line;
  std::string Word = takeWord(Rest);
  if (Word == "STARTUP") {
    std::string Name = takeWord(Rest);
    takeWord(Rest);
    With.Open = Name == this->Service && (Rest.empty() || Rest == At.Id);
    return With.Open ? "READY I " + position(At, applied(At)) + "\r\n"
                     : "ERROR WRONGNODE " + At.Id + "\r\n";
  }
  if (Word != "QUERY" || !With.Open)
    return "";
  std::string Id = takeWord(Rest);
  std::string Body = this->run(At, With, Id, Rest, Lock);
  std::string State = With.InTransaction ? "T" : "I";
  return Body + "READY " + State + " " + position(At, applied(At)) + "\r\n";
}

void Members::work(Member &At, std::chrono::milliseconds Length, Guard &Lock) {
  ++At.Busy;
  this->Changed.wait(Lock, [&] { return At.Running < Slots; });
  ++At.Running;
  Lock.unlock();
  std::this_thread::sleep_for(Length);
  Lock.lock();
  --At.Running;
  --At.Busy;
  this->Changed.notify_all();
}

std::string Members::run(Member &At, Session &With, const std::string &Id,
                         std::string Text, Guard &Lock) {
  std::string Done = "COMPLETE -\r\n";
  std::string Signed = "COMPLETE " + At.Id + "." + Id + "\r\n";
  std::string ReadOnly = "ERROR READONLY " + At.Id + "\r\n";
  std::string Word = takeWord(Text);
  if (Word == "AFTERLSN") {
    std::istringstream Needed(takeWord(Text));
    std::uint64_t Term = 0;
    std::size_t Count = 0;
    char Dot = 0;
    Needed >> Term >> Dot >> Count;
    std::size_t Own = applied(At);
    std::uint64_t OwnTerm = Own == 0 ? 1 : At.Entries[Own - 1].Term;
    if (std::pair(OwnTerm, Own) < std::pair(Term, Count))
      return "ERROR LAGGING " + At.Id + "\r\n";
    Word = takeWord(Text);
  }
  if (Word == "STATUS" || Word == "STEPDOWN") {
    if (Word == "STEPDOWN" && At.Primary && At.Term < std::stoull(Text))
      At.Primary = false;
    auto Lag = At.Primary ? 0 : At.Lag.count();
    return "DATAROW " + std::string(At.Primary ? "primary " : "replica ") +
           std::to_string(At.Term) + " " + position(At, At.Entries.size()) +
           " 0 " + std::to_string(Lag) + " " + std::to_string(At.Busy) +
           " 1\r\n" + Done;
  }
  if (Word == "ROLLBACK") {
    With.InTransaction = false;
    With.Pending.clear();
    return Done;
  }
  if (Word == "BEGIN") {
    if (Text.empty() && !At.Primary)
      return ReadOnly;
    With.InTransaction = true;
    return Done;
  }
  if (Word == "READ") {
    this->work(At, ReadTime, Lock);
    return "DATAROW x\r\n" + Signed;
  }
  if (Word != "WRITE" && Word != "COMMIT")
    return Done;
  this->work(At, WriteTime, Lock);
  if (!At.Primary)
    return ReadOnly;
  if (Word == "WRITE" && With.InTransaction) {
    With.Pending.push_back(Id);
    return Signed;
  }
  if (Word == "WRITE")
    With.Pending.push_back(Id);
  for (const std::string &Each : std::exchange(With.Pending, {}))
    this->commit(At, Each);
  With.InTransaction = false;
  return Signed;
}

void Members::commit(Member &At, const std::string &Id) {
  At.Entries.push_back({.Term = At.Term, .Id = Id, .ReceivedAt = Clock::now()});
  const Member &Newest = this->leader();
  if (Newest.Term > At.Term) {
    this->Late.insert(Id);
    this->Log.write("ONE: " + Id + " is committed at " + At.Id + " in term " +
                    std::to_string(At.Term) + ", but " + Newest.Id +
                    " leads term " + std::to_string(Newest.Term));
  }
  for (auto &[Other, Each] : this->All)
    if (!Each.Primary && Each.Term <= At.Term)
      this->follow(Each, At);
}

void Members::follow(Member &At, const Member &Leader) {
  if (&At == &Leader || !this->canReach(At, Leader))
    return;
  std::size_t Same = 0;
  while (Same < At.Entries.size() && Same < Leader.Entries.size() &&
         At.Entries[Same].Id == Leader.Entries[Same].Id)
    ++Same;
  At.Entries.resize(Same);
  for (std::size_t Index = Same; Index < Leader.Entries.size(); ++Index) {
    At.Entries.push_back(Leader.Entries[Index]);
    At.Entries.back().ReceivedAt = Clock::now();
  }
  At.Term = Leader.Term;
}

void Members::tick(Store &Registry) {
  std::map<std::string, std::string> Changes;
  {
    std::lock_guard Lock(this->Mutex);
    Member &Newest = this->leader();
    auto Now = Clock::now();
    for (auto &[Id, Each] : this->All) {
      bool Reaches = this->canReach(Each, Newest);
      if (!Each.Primary && Reaches)
        this->follow(Each, Newest);
      if (&Each == &Newest || !Each.Primary || !Reaches)
        Each.ReachesLaterSince = Now;
      else if (Now - Each.ReachesLaterSince >= StepDownAfter) {
        this->Log.write(Id + " steps down; its log has " +
                        std::to_string(Each.Entries.size()) + " entries, " +
                        Newest.Id + "'s " +
                        std::to_string(Newest.Entries.size()));
        Each.Primary = false;
        this->follow(Each, Newest);
      }
      std::string Entry = boost::json::serialize(boost::json::object{
          {"service", this->Service},
          {"addr", "127.0.0.1:" + std::to_string(Each.Port)},
          {"zone", Each.Zone},
          {"version", "v1"},
          {"slots", Slots},
          {"state", "ready"},
          {"cold_left_ms", 0},
          {"seq", 1},
          {"db_role", Each.Primary ? "primary" : "replica"}});
      bool Beats = !this->isCut(Each) && !Each.Down;
      if (Beats)
        Each.BeatAt = Now;
      if (Now - Each.BeatAt > 3 * Heartbeat)
        Entry = "";
      if (Entry == Each.StoredEntry || (!Beats && !Entry.empty()))
        continue;
      Each.StoredEntry = Entry;
      Changes["servers/" + Id] = Entry;
    }
  }
  for (const auto &[Key, Value] : Changes)
    Value.empty() ? Registry.remove(Key) : Registry.put(Key, Value);
}

int Members::promote(const std::string &Id) {
  std::lock_guard Lock(this->Mutex);
  if (!this->All.contains(Id) || this->All.at(Id).Down)
    return Conflict;
  if (this->Ordered.empty())
    this->Ordered = Id;
  std::thread([this, Id] {
    std::this_thread::sleep_for(PromoteTime);
    std::lock_guard Later(this->Mutex);
    Member &At = this->All.at(Id);
    Member &Newest = this->leader();
    if (&At == &Newest)
      return;
    At.Term = Newest.Term + 1;
    At.Primary = true;
    this->Log.write(Id + " leads term " + std::to_string(At.Term) + " with " +
                    std::to_string(At.Entries.size()) + " entries");
  }).detach();
  return 200;
}

void Members::setLag(std::chrono::milliseconds Lag) {
  std::lock_guard Lock(this->Mutex);
  this->Log.write("replicas apply " + std::to_string(Lag.count()) + " ms late");
  for (auto &[Id, Each] : this->All)
    Each.Lag = Lag;
}

void Members::cutOrdered() {
  std::lock_guard Lock(this->Mutex);
  this->CutZone = this->All.at(this->Ordered).Zone;
  this->Log.write("zone " + this->CutZone + " is cut off");
}

void Members::crashOther() {
  std::lock_guard Lock(this->Mutex);
  for (auto &[Id, Each] : this->All) {
    if (Id == this->Ordered || Each.Primary)
      continue;
    this->Log.write(Id + " crashes");
    Each.Down = true;
    for (int Handle : Each.Handles)
      ::shutdown(Handle, SHUT_RDWR);
  }
}

void Members::heal() {
  std::lock_guard Lock(this->Mutex);
  this->Log.write("the cut ends, and the member that crashed is back");
  this->CutZone.clear();
  for (auto &[Id, Each] : this->All)
    Each.Down = false;
  this->Changed.notify_all();
}

std::set<std::string> Members::committedLate() {
  std::lock_guard Lock(this->Mutex);
  return this->Late;
}

std::set<std::string> Members::held() {
  std::lock_guard Lock(this->Mutex);
  std::set<std::string> Ids;
  for (const LogEntry &Each : this->leader().Entries)
    Ids.insert(Each.Id);
  return Ids;
}

} // namespace lab
