// The scripted cases of the second review: starts the stand-ins, writes the
// daemons' settings, brings about the disruption and checks the rule.
#include "Clients.h"
#include "Group.h"
#include "Sockets.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

namespace lab {

namespace {

constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;
constexpr int Daemons = 3;
constexpr std::string_view Service = "ledger";
constexpr std::string_view Database = "bookings";

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

void writeSettings(const std::string &Folder, int Daemon, std::uint16_t Ports,
                   std::uint16_t Platform) {
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
      << "platform:\n  addr: \"127.0.0.1:" << Platform
      << "\"\n  form: \"kv\"\ncloud_api:\n  addr: \"127.0.0.1:" << Platform
      << "\"\n  duties:\n    - \"promotion\"\n";
}

std::string configuration() {
  return R"({"version":3,"routes":[{"name":"r1","host":")" +
         std::string(Database) + R"(","service":")" + std::string(Service) +
         R"(","kind":"primary","timeout_ms":1000,"latency_goal_ms":200,)"
         R"("priority":1,"max_staleness_ms":0}],"services":[{"name":")" +
         std::string(Service) +
         R"(","max_conns":60,"sync_replicas":1}],)"
         R"("limits":{"tx_idle_ms":3000}})";
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
      Log,
      {.Service = std::string(Service), .Ip = "127.0.0.1", .SyncReplicas = 1});
  static Store Platform(
      Log, [](const std::string &, const std::string &Id, std::uint64_t Token) {
        return Members.promote(Id, Token);
      });
  std::uint16_t Ports = freePorts();
  std::uint16_t Port = Platform.start("127.0.0.1");
  if (Ports == 0 || Port == 0)
    return CouldNotRun;
  std::vector<Front> Fronts;
  for (int Daemon = 0; Daemon < Daemons; ++Daemon) {
    writeSettings(Folder, Daemon, Ports, Port);
    Fronts.push_back({.Ip = addressOf(Daemon),
                      .Port = static_cast<std::uint16_t>(Ports + 2)});
  }
  static Clients Callers(Log, Fronts, std::string(Database));
  static bool Broken = false;
  Members.start(
      Platform, {"i-1", "i-2", "i-3"},
      [&Log](const std::string &Id, const std::vector<Entry> &Entries) {
        std::size_t Lost = 0;
        for (const std::string &Each : Callers.acknowledged())
          Lost += std::ranges::find(Entries, Each, &Entry::Id) == Entries.end()
                      ? 1
                      : 0;
        Log.write("LOST: " + std::to_string(Lost) +
                  " acknowledged writes are not in the log of " + Id);
        Broken = Broken || Lost > 0;
      });
  Platform.put("op/config", configuration());
  std::ofstream(Folder + "/ready") << "ready\n";
  Callers.start(2);
  constexpr int Tries = 300;
  for (int Try = 0; Try < Tries && Callers.count() < EnoughWrites; ++Try)
    pauseFor(std::chrono::milliseconds(100));
  if (Callers.count() < EnoughWrites)
    return CouldNotRun;
  if (Trouble) {
    std::string Primary = Members.primary();
    std::vector<std::string> Replicas;
    for (const std::string Id : {"i-1", "i-2", "i-3"})
      if (Id != Primary)
        Replicas.push_back(Id);
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
  Log.write(Broken ? "the rule is broken" : "the rule holds");
  return Broken ? RuleBroken : 0;
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
  int Result = lab::CouldNotRun;
  if (std::string_view(Arguments[1]) == "restarted-replica")
    Result = lab::runRestartedReplica(
        Arguments[2], Log, !Trouble || std::string_view(Trouble) != "0");
  // Threads of the stand-ins still wait for requests.
  std::_Exit(Result);
}
