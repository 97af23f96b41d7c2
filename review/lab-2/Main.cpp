// The scripted cases of the second review: starts the stand-ins, writes the
// daemons' settings, brings about the disruption and checks the rule.
#include "Clients.h"
#include "Group.h"
#include "Sockets.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

namespace lab {

namespace {

constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;
constexpr int Daemons = 3;

void pauseFor(std::chrono::milliseconds Length) {
  std::this_thread::sleep_for(Length);
}

std::string addressOf(int Daemon) {
  constexpr int Spread = 250;
  return "127.78." + std::to_string(::getpid() % Spread) + "." +
         std::to_string(Daemon + 1);
}

/// Four consecutive ports that are free at all daemons' addresses.
std::uint16_t freePorts() {
  constexpr std::uint16_t First = 20000;
  constexpr std::uint16_t Last = 30000;
  constexpr std::uint16_t Count = 4;
  for (std::uint16_t Base = First; Base < Last; Base += Count) {
    bool Free = true;
    for (int Daemon = 0; Daemon < Daemons; ++Daemon)
      for (std::uint16_t Port = Base; Port < Base + Count; ++Port)
        for (int Type : {SOCK_STREAM, SOCK_DGRAM}) {
          int Handle = boundSocket(addressOf(Daemon), Port, Type);
          Free = Free && Handle >= 0;
          if (Handle >= 0)
            ::close(Handle);
        }
    if (Free)
      return Base;
  }
  return 0;
}

/// Where the stand-ins of a case listen.
struct Places {
  std::uint16_t Platform = 0;
  std::uint16_t Promotions = 0;
  std::vector<Front> Fronts;
};

void writeSettings(const std::string &Folder, int Daemon, std::uint16_t Ports,
                   const Places &Where) {
  std::string Ip = addressOf(Daemon);
  std::string Number = std::to_string(Daemon + 1);
  std::ofstream(Folder + "/front-" + Number + ".yaml")
      << "node: \"front-" << Number << "\"\nrole: \"entry\"\n"
      << "machine_class: \"front\"\nserves:\n  - \"front\"\nip: \"" << Ip
      << "\"\nzone: \"a\"\nregion: \"r\"\nzones:\n  a: \"r\"\nlisten:\n"
      << "  front: \"" << Ip << ":" << Ports + 2 << "\"\n  ready: \"" << Ip
      << ":" << Ports + 3 << "\"\ninternal_ports:\n  - " << Ports << "\n  - "
      << Ports + 1 << "\nbootstrap: true\nlimits:\n  memory_mb: 390\n"
      << "  max_fds: 6300\nheartbeat_ms: 1200\nbounds:\n  contact_ms: 4000\n"
      << "  drain_ms: 7000\n  grace_s: 6\n  config_apply_ms: 3000\n"
      << "platform:\n  addr: \"127.0.0.1:" << Where.Platform
      << "\"\n  form: \"kv\"\ncloud_api:\n  addr: \"127.0.0.1:"
      << Where.Promotions << "\"\n  duties:\n    - \"promotion\"\n";
}

/// A service has the name of its database.
std::string configuration(const std::vector<std::string> &Services,
                          int SyncReplicas, int TimeoutMs = 1000) {
  std::string Routes;
  std::string Rules;
  for (const std::string &Each : Services) {
    std::string Comma = Routes.empty() ? "" : ",";
    Routes += Comma + R"({"name":"r-)" + Each + R"(","host":")" + Each +
              R"(","service":")" + Each +
              R"(","kind":"primary","timeout_ms":)" +
              std::to_string(TimeoutMs) +
              R"(,"latency_goal_ms":200,)"
              R"("priority":1,"max_staleness_ms":0})";
    Rules += Comma + R"({"name":")" + Each +
             R"(","max_conns":60,"sync_replicas":)" +
             std::to_string(SyncReplicas) + "}";
  }
  return R"({"version":3,"routes":[)" + Routes + R"(],"services":[)" + Rules +
         R"(],"limits":{"tx_idle_ms":3000}})";
}

/// Starts the platform and writes the daemons' settings.
Places prepare(const std::string &Folder, Store &Platform) {
  Places Where{.Platform = Platform.start("127.0.0.1"),
               .Promotions = Platform.start("127.0.0.1")};
  std::uint16_t Ports = freePorts();
  for (int Daemon = 0; Daemon < Daemons; ++Daemon) {
    writeSettings(Folder, Daemon, Ports, Where);
    Where.Fronts.push_back({.Ip = addressOf(Daemon),
                            .Port = static_cast<std::uint16_t>(Ports + 2)});
  }
  return Where;
}

/// Tells run.sh to start the daemons.
void startDaemons(const std::string &Folder) {
  std::ofstream(Folder + "/ready") << "ready\n";
}

bool awaitWrites(Clients &Callers, std::size_t Count) {
  constexpr int Tries = 300;
  for (int Try = 0; Try < Tries && Callers.count() < Count; ++Try)
    pauseFor(std::chrono::milliseconds(100));
  return Callers.count() >= Count;
}

int finish(Record &Log, bool Broken) {
  Log.write(Broken ? "the rule is broken" : "the rule holds");
  return Broken ? RuleBroken : 0;
}

/// Starts a primary and two replicas. Broken is set when a member is promoted
/// whose log lacks an acknowledged write.
void startGroup(Group &Members, Store &Platform, Clients &Callers, Record &Log,
                std::atomic<bool> &Broken) {
  Members.start(Platform, {"i-1", "i-2", "i-3"},
                [&](const std::string &Id, const std::vector<Entry> &Entries) {
                  std::size_t Lost = 0;
                  for (const std::string &Each : Callers.acknowledged())
                    Lost += std::ranges::find(Entries, Each, &Entry::Id) ==
                                    Entries.end()
                                ? 1
                                : 0;
                  Log.write("LOST: " + std::to_string(Lost) +
                            " acknowledged writes are not in the log of " + Id);
                  Broken = Broken || Lost > 0;
                });
}

std::vector<std::string> replicasOf(const std::string &Primary) {
  std::vector<std::string> Replicas;
  for (const std::string Id : {"i-1", "i-2", "i-3"})
    if (Id != Primary)
      Replicas.push_back(Id);
  return Replicas;
}

/// One replica of a service with synchronous replicas receives nothing for a
/// while. Meanwhile the primary and the other replica crash. The replica starts
/// again first, with an empty log, and renews its entry a moment later. The
/// primary follows with its log.
int runRestartedReplica(const std::string &Folder, Record &Log, bool Trouble) {
  constexpr std::size_t EnoughWrites = 400;
  constexpr std::chrono::milliseconds DeafBefore(2500);
  constexpr std::chrono::milliseconds DeafAfter(4000);
  constexpr std::chrono::milliseconds ReplicaDown(1300);
  constexpr std::chrono::milliseconds EntryDelay(400);
  constexpr std::chrono::milliseconds PrimaryDown(6000);
  constexpr std::chrono::milliseconds Rest(6000);
  // Static: threads use them until the process ends.
  static Group Members(
      Log, {.Service = "ledger", .Ip = "127.0.0.1", .SyncReplicas = 1});
  static Store Platform(
      Log, [](const std::string &, const std::string &Id, std::uint64_t Token) {
        return Members.promote(Id, Token);
      });
  Places Where = prepare(Folder, Platform);
  static Clients Callers(Log, Where.Fronts, "ledger");
  static std::atomic<bool> Broken = false;
  startGroup(Members, Platform, Callers, Log, Broken);
  Platform.put("op/config", configuration({"ledger"}, 1));
  startDaemons(Folder);
  Callers.start(2);
  if (!awaitWrites(Callers, EnoughWrites))
    return CouldNotRun;
  if (Trouble) {
    std::string Primary = Members.primary();
    std::vector<std::string> Replicas = replicasOf(Primary);
    Members.setDeaf(Replicas.back(), true);
    pauseFor(DeafBefore);
    Members.crash({Primary, Replicas.front()});
    pauseFor(ReplicaDown);
    Members.restart(Replicas.front(), EntryDelay);
    pauseFor(DeafAfter - ReplicaDown);
    Members.setDeaf(Replicas.back(), false);
    pauseFor(PrimaryDown - DeafAfter);
    Members.restart(Primary, std::chrono::milliseconds(0));
  }
  pauseFor(Rest);
  Callers.stop();
  return finish(Log, Broken);
}

/// One replica of a service with synchronous replicas is cut off from the
/// store alone, until its entry ends. It still receives and confirms. Then the
/// other replica receives nothing for a while, and the primary crashes.
int runUnlistedReplica(const std::string &Folder, Record &Log, bool Trouble) {
  constexpr std::size_t EnoughWrites = 300;
  constexpr std::chrono::milliseconds CutBefore(3700);
  constexpr std::chrono::milliseconds DeafBefore(700);
  constexpr std::chrono::milliseconds CutAfter(600);
  constexpr std::chrono::milliseconds DeafAfter(3400);
  constexpr std::chrono::milliseconds Rest(6000);
  static Group Members(
      Log, {.Service = "ledger", .Ip = "127.0.0.1", .SyncReplicas = 1});
  static Store Platform(
      Log, [](const std::string &, const std::string &Id, std::uint64_t Token) {
        return Members.promote(Id, Token);
      });
  Places Where = prepare(Folder, Platform);
  static Clients Callers(Log, Where.Fronts, "ledger");
  static std::atomic<bool> Broken = false;
  startGroup(Members, Platform, Callers, Log, Broken);
  Platform.put("op/config", configuration({"ledger"}, 1));
  startDaemons(Folder);
  Callers.start(2);
  if (!awaitWrites(Callers, EnoughWrites))
    return CouldNotRun;
  if (Trouble) {
    std::string Primary = Members.primary();
    std::vector<std::string> Replicas = replicasOf(Primary);
    Members.cutFromStore(Replicas.front());
    pauseFor(CutBefore);
    Members.setDeaf(Replicas.back(), true);
    pauseFor(DeafBefore);
    Members.crash({Primary});
    pauseFor(CutAfter);
    Members.reachStore(Replicas.front());
    pauseFor(DeafAfter - CutAfter);
    Members.setDeaf(Replicas.back(), false);
    Members.restart(Primary, std::chrono::milliseconds(0));
  }
  pauseFor(Rest);
  Callers.stop();
  return finish(Log, Broken);
}

/// The primaries of two services crash at the same moment. A packet of the
/// first order for a promotion is lost and sent again.
int runOvertakenOrder(const std::string &Folder, Record &Log, bool Trouble) {
  constexpr std::size_t EnoughWrites = 150;
  constexpr std::chrono::milliseconds SentAgainAfter(250);
  constexpr std::chrono::milliseconds Rest(8000);
  static Group Ledger(Log, {.Service = "ledger", .Ip = "127.0.0.1"});
  static Group Orders(Log, {.Service = "orders", .Ip = "127.0.0.1"});
  static std::mutex Mutex;
  static std::uint64_t NewestToken = 0;
  static bool Broken = false;
  static Store Platform(Log, [&Log](const std::string &Service,
                                    const std::string &Id,
                                    std::uint64_t Token) {
    {
      std::lock_guard Lock(Mutex);
      if (Token < NewestToken)
        Log.write("ONE: " + Service + " sends token " + std::to_string(Token) +
                  ", but " + std::to_string(NewestToken) + " was seen before");
      Broken = Broken || Token < NewestToken;
      NewestToken = std::max(NewestToken, Token);
    }
    return (Service == "ledger" ? Ledger : Orders).promote(Id, Token);
  });
  Places Where = prepare(Folder, Platform);
  static Clients LedgerCallers(Log, Where.Fronts, "ledger");
  static Clients OrdersCallers(Log, Where.Fronts, "orders");
  auto Ignore = [](const std::string &, const std::vector<Entry> &) {};
  Ledger.start(Platform, {"i-1", "i-2", "i-3"}, Ignore);
  Orders.start(Platform, {"i-4", "i-5", "i-6"}, Ignore);
  Platform.put("op/config", configuration({"ledger", "orders"}, 0));
  startDaemons(Folder);
  LedgerCallers.start(2);
  OrdersCallers.start(2);
  if (!awaitWrites(LedgerCallers, EnoughWrites) ||
      !awaitWrites(OrdersCallers, EnoughWrites))
    return CouldNotRun;
  if (Trouble) {
    Platform.holdUpNext(Where.Promotions, SentAgainAfter);
    Ledger.crash({Ledger.primary()});
    Orders.crash({Orders.primary()});
  }
  pauseFor(Rest);
  LedgerCallers.stop();
  OrdersCallers.stop();
  return finish(Log, Broken);
}

/// Sends a statement and returns the result line of its answer.
std::string ask(int Handle, Reader &From, const std::string &Statement) {
  std::string Result = "no answer";
  if (!sendAll(Handle, Statement + "\r\n"))
    return Result;
  auto Line = From.line();
  while (Line && !Line->starts_with("READY")) {
    Result = Line->substr(0, Line->find(' ', Line->find(' ') + 1));
    Line = From.line();
  }
  return Line ? Result : "no answer";
}

/// A daemon is asked to stop. In the first half of its grace period, a client
/// with an open session and a slow link asks for 4 MB.
int runSlowReader(const std::string &Folder, Record &Log, bool Trouble) {
  constexpr int Rows = 4;
  constexpr std::size_t RowBytes = 1'000'000;
  constexpr int RouteTimeoutMs = 3000;
  constexpr int ReceiveBuffer = 128 * 1024;
  constexpr std::size_t Chunk = std::size_t{80} * 1024;
  constexpr std::chrono::milliseconds ChunkPause(40);
  constexpr std::chrono::milliseconds StopBefore(2000);
  static Group Members(Log, {.Service = "ledger", .Ip = "127.0.0.1"});
  static Store Platform(
      Log, [](const std::string &, const std::string &Id, std::uint64_t Token) {
        return Members.promote(Id, Token);
      });
  Places Where = prepare(Folder, Platform);
  static Clients Callers(Log, Where.Fronts, "ledger");
  static std::atomic<bool> Broken = false;
  startGroup(Members, Platform, Callers, Log, Broken);
  Platform.put("op/config", configuration({"ledger"}, 0, RouteTimeoutMs));
  startDaemons(Folder);
  Callers.start(1);
  bool Writes = awaitWrites(Callers, 2);
  Callers.stop();
  const Front &At = Where.Fronts.front();
  int Handle = connectTo(At.Ip, At.Port, ReceiveBuffer);
  if (!Writes || Handle < 0)
    return CouldNotRun;
  Reader From(Handle);
  bool Prepared = sendAll(Handle, "STARTUP ledger key\r\n") &&
                  From.line().value_or("").starts_with("READY");
  for (int Row = 0; Row < Rows; ++Row)
    Prepared = Prepared && ask(Handle, From,
                               "QUERY p" + std::to_string(Row) +
                                   " WRITE scans " + std::string(RowBytes, 's'))
                               .starts_with("COMPLETE");
  std::ifstream PidFile(Folder + "/front-1.pid");
  pid_t Daemon = 0;
  PidFile >> Daemon;
  if (!Prepared || Daemon == 0)
    return CouldNotRun;
  if (Trouble) {
    Log.write("SIGTERM to front-1");
    ::kill(Daemon, SIGTERM);
  }
  pauseFor(StopBefore);
  Log.write("the client sends QUERY r1 READ scans");
  auto SentAt = Clock::now();
  sendAll(Handle, "QUERY r1 READ scans\r\n");
  std::size_t Received = 0;
  std::string Tail;
  std::vector<char> Bytes(Chunk);
  ssize_t Count = 1;
  while (Count > 0 && Tail.find("READY") == std::string::npos) {
    Count = ::recv(Handle, Bytes.data(), Bytes.size(), 0);
    if (Count <= 0)
      break;
    Received += static_cast<std::size_t>(Count);
    Tail += std::string(Bytes.data(), static_cast<std::size_t>(Count));
    constexpr std::size_t LongestEnd = 200;
    if (Tail.size() > LongestEnd)
      Tail.erase(0, Tail.size() - LongestEnd);
    pauseFor(ChunkPause);
  }
  Broken = Tail.find("COMPLETE") == std::string::npos ||
           Tail.find("READY") == std::string::npos;
  auto Took = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - SentAt);
  Log.write(std::string(Broken ? "LOST: the connection ends" : "answered") +
            " after " + std::to_string(Received) + " bytes and " +
            std::to_string(Took.count()) + " ms");
  return finish(Log, Broken);
}

} // namespace

} // namespace lab

int main(int Count, char **Arguments) {
  constexpr int Expected = 4;
  if (Count != Expected) {
    std::cerr << "usage: review-lab-2 CASE FOLDER RECORD\n";
    return lab::CouldNotRun;
  }
  const char *Trouble = std::getenv("TROUBLE");
  lab::Record Log(Arguments[3]);
  bool WithTrouble = !Trouble || std::string_view(Trouble) != "0";
  std::string_view Case = Arguments[1];
  int Result = lab::CouldNotRun;
  if (Case == "restarted-replica")
    Result = lab::runRestartedReplica(Arguments[2], Log, WithTrouble);
  if (Case == "unlisted-replica")
    Result = lab::runUnlistedReplica(Arguments[2], Log, WithTrouble);
  if (Case == "slow-reader")
    Result = lab::runSlowReader(Arguments[2], Log, WithTrouble);
  if (Case == "overtaken-order")
    Result = lab::runOvertakenOrder(Arguments[2], Log, WithTrouble);
  // Threads of the stand-ins still wait for requests.
  std::_Exit(Result);
}
