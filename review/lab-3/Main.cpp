// A hand-over for backlog whose successor is cut off: starts the stand-ins and
// the daemons, brings about the disruptions and checks the rule.
#include "../lab-2/Clients.h"
#include "../lab-2/Sockets.h"
#include "Members.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sys/wait.h>
#include <thread>

namespace lab {

namespace {

constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;
constexpr int Daemons = 4;
constexpr const char *Program = "target/turmericpitch-sessions";

void pauseFor(std::chrono::milliseconds Length) {
  std::this_thread::sleep_for(Length);
}

std::string addressOf(int Daemon) {
  constexpr int Spread = 250;
  return "127.79." + std::to_string(::getpid() % Spread) + "." +
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

/// A machine of the system with its own address of the promotion service, so
/// that an order shows who sent it.
struct Machine {
  std::string Settings;
  std::string LogFile;
  pid_t Pid = 0;
  int Promotions = -1;
};

void writeSettings(const Machine &At, int Daemon, std::uint16_t Ports,
                   std::uint16_t Platform) {
  std::string Ip = addressOf(Daemon);
  std::ofstream(At.Settings)
      << "node: \"front-" << Daemon + 1 << "\"\nrole: \"entry\"\n"
      << "machine_class: \"front\"\nserves:\n  - \"front\"\nip: \"" << Ip
      << "\"\nzone: \"sfax-a\"\nregion: \"tn-sud\"\nzones:\n"
      << "  sfax-a: \"tn-sud\"\n  sfax-b: \"tn-sud\"\n  gabes-c: "
         "\"tn-sud\"\nlisten:\n"
      << "  front: \"" << Ip << ":" << Ports + 2 << "\"\n  ready: \"" << Ip
      << ":" << Ports + 3 << "\"\ninternal_ports:\n  - " << Ports << "\n  - "
      << Ports + 1 << "\nbootstrap: true\nlimits:\n  memory_mb: 520\n"
      << "  max_fds: 8400\nheartbeat_ms: 1200\nbounds:\n  contact_ms: 4000\n"
      << "  drain_ms: 7000\n  grace_s: 6\n  config_apply_ms: 3000\n"
      << "platform:\n  addr: \"127.0.0.1:" << Platform
      << "\"\n  form: \"kv\"\ncloud_api:\n  addr: \"127.0.0.1:"
      << portOf(At.Promotions) << "\"\n  duties:\n    - \"promotion\"\n";
}

/// Starts a machine's process with the command of the deploy file.
void startProcess(Machine &At) {
  At.Pid = ::fork();
  if (At.Pid != 0)
    return;
  int Out = ::open(At.LogFile.c_str(),
                   O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(Out, STDOUT_FILENO);
  ::dup2(Out, STDERR_FILENO);
  ::setenv("TURMERICPITCH_BOOT", At.Settings.c_str(), 1);
  ::execl(Program, Program, static_cast<char *>(nullptr));
  std::_Exit(CouldNotRun);
}

void killProcess(Machine &At) {
  ::kill(At.Pid, SIGKILL);
  ::waitpid(At.Pid, nullptr, 0);
}

/// Serves POST /promote for one machine.
void servePromotions(int Listener, const std::function<int(std::string)> &To) {
  while (true) {
    int Handle = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Handle < 0)
      continue;
    Reader From(Handle);
    std::size_t Length = 0;
    auto Line = From.line();
    while (Line && !Line->empty()) {
      std::string Field = *Line;
      std::ranges::transform(Field, Field.begin(), [](unsigned char Letter) {
        return static_cast<char>(std::tolower(Letter));
      });
      if (Field.starts_with("content-length:"))
        Length = std::stoul(Field.substr(Field.find(':') + 1));
      Line = From.line();
    }
    std::string Body = From.bytes(Length).value_or("");
    std::string Mark = "\"id\":\"";
    std::size_t Begin = Body.find(Mark);
    std::string Id;
    if (Begin != std::string::npos)
      Id =
          Body.substr(Begin + Mark.size(), Body.find('"', Begin + Mark.size()) -
                                               Begin - Mark.size());
    int Status = To(Id);
    sendAll(Handle, "HTTP/1.1 " + std::to_string(Status) +
                        " X\r\nContent-Type: application/json\r\n"
                        "Content-Length: 2\r\n\r\n{}");
    ::close(Handle);
  }
}

/// Reads one item again and again over a route that accepts data of some age.
void read(const Front &At, const std::atomic<bool> &Stopping, int Client) {
  constexpr std::chrono::milliseconds Pause(5);
  constexpr std::chrono::milliseconds PauseAfterError(100);
  constexpr std::chrono::milliseconds Longest(4000);
  int Next = 0;
  while (!Stopping) {
    pauseFor(PauseAfterError);
    int Handle = connectTo(At.Ip, At.Port);
    if (Handle < 0)
      continue;
    Reader From(Handle);
    From.setTimeout(Longest);
    bool Open = sendAll(Handle, "STARTUP board key\r\n") &&
                From.line().value_or("").starts_with("READY");
    while (Open && !Stopping) {
      sendAll(Handle, "QUERY r" + std::to_string(Client) + "x" +
                          std::to_string(++Next) + " READ a\r\n");
      bool Failed = false;
      auto Line = From.line();
      while (Line && !Line->starts_with("READY")) {
        Failed = Failed || Line->starts_with("ERROR");
        Line = From.line();
      }
      Open = Line.has_value();
      pauseFor(Failed ? PauseAfterError : Pause);
    }
    ::close(Handle);
  }
}

constexpr const char *Configuration =
    R"({"version":3,"routes":[{"name":"r-ledger","host":"ledger",)"
    R"("service":"ledger","kind":"primary","timeout_ms":1000,)"
    R"("latency_goal_ms":200,"priority":1,"max_staleness_ms":0},)"
    R"({"name":"r-board","host":"board","service":"ledger",)"
    R"("kind":"bounded_staleness","timeout_ms":2000,"latency_goal_ms":800,)"
    R"("priority":2,"max_staleness_ms":1500}],"services":[{"name":"ledger",)"
    R"("max_conns":60,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}})";

/// Runs the case. Static data: threads use it until the process ends.
int run(const std::string &Folder, Record &Log, bool Trouble) {
  constexpr int Writers = 3;
  constexpr int Readers = 40;
  constexpr std::size_t EnoughWrites = 200;
  constexpr std::chrono::milliseconds Settle(10'000);
  constexpr std::chrono::milliseconds Lag(6600);
  constexpr std::chrono::milliseconds LagLength(7000);
  constexpr std::chrono::milliseconds BetweenLags(8000);
  constexpr std::chrono::milliseconds CutAfter(100);
  constexpr std::chrono::milliseconds CrashAfter(400);
  constexpr std::chrono::milliseconds RollGap(1200);
  constexpr std::chrono::milliseconds CutRest(1800);
  constexpr std::chrono::milliseconds Rest(6000);
  constexpr std::chrono::milliseconds Poll(10);
  constexpr int Tries = 3;
  static Members Group(Log, "ledger");
  static Store Platform(Log, [](const std::string &, const std::string &Id,
                                std::uint64_t) { return Group.promote(Id); });
  static std::atomic<int> Orderer = -1;
  static std::atomic<bool> Stopping = false;
  static std::array<Machine, Daemons> All;
  std::uint16_t PlatformPort = Platform.start("127.0.0.1");
  std::uint16_t Ports = freePorts();
  std::vector<Front> Fronts;
  for (int Daemon = 0; Daemon < Daemons; ++Daemon) {
    Machine &At = All.at(static_cast<std::size_t>(Daemon));
    std::string Number = std::to_string(Daemon + 1);
    At.Settings = Folder + "/front-" + Number + ".yaml";
    At.LogFile = Folder + "/front-" + Number + ".log";
    At.Promotions = listenAt("127.0.0.1", 0);
    std::thread([&At, &Log, Daemon] {
      servePromotions(At.Promotions, [&Log, Daemon](const std::string &Id) {
        Log.write("front-" + std::to_string(Daemon + 1) + " orders " + Id);
        int Status = Group.promote(Id);
        int None = -1;
        Orderer.compare_exchange_strong(None, Daemon);
        return Status;
      });
    }).detach();
    writeSettings(At, Daemon, Ports, PlatformPort);
    Fronts.push_back({.Ip = addressOf(Daemon),
                      .Port = static_cast<std::uint16_t>(Ports + 2)});
  }
  Group.start(Platform, {"i-1", "i-2", "i-3"});
  Platform.put("op/config", Configuration);
  for (Machine &Each : All)
    startProcess(Each);
  static Clients Callers(Log, Fronts, "ledger");
  Callers.start(Writers);
  for (int Reader = 0; Reader < Readers; ++Reader)
    std::thread([At = Fronts[static_cast<std::size_t>(Reader % Daemons)],
                 Reader] {
      read(At, Stopping, Reader);
    }).detach();
  pauseFor(Settle);
  if (Callers.count() < EnoughWrites)
    return CouldNotRun;
  for (int Try = 0; Trouble && Try < Tries && Orderer < 0; ++Try) {
    Group.setLag(Lag);
    auto Until = Clock::now() + LagLength;
    while (Clock::now() < Until && Orderer < 0)
      pauseFor(Poll);
    if (Orderer >= 0)
      break;
    Group.setLag(std::chrono::milliseconds(0));
    pauseFor(BetweenLags);
  }
  if (Trouble && Orderer < 0)
    return CouldNotRun;
  if (Trouble) {
    pauseFor(CutAfter);
    Group.cutOrdered();
    pauseFor(CrashAfter);
    Group.crashOther();
    for (int Daemon = 0; Daemon < Daemons; ++Daemon) {
      if (Daemon == Orderer)
        continue;
      Machine &At = All.at(static_cast<std::size_t>(Daemon));
      Log.write("SIGTERM to front-" + std::to_string(Daemon + 1));
      std::thread([&At] {
        ::kill(At.Pid, SIGTERM);
        ::waitpid(At.Pid, nullptr, 0);
        startProcess(At);
      }).detach();
      pauseFor(RollGap);
    }
    Group.setLag(std::chrono::milliseconds(0));
    pauseFor(CutRest);
    Group.heal();
  }
  pauseFor(Rest);
  Callers.stop();
  Stopping = true;
  std::set<std::string> Late = Group.committedLate();
  std::set<std::string> Held = Group.held();
  std::size_t Broken = 0;
  std::size_t Lost = 0;
  for (const std::string &Id : Callers.acknowledged()) {
    Broken += Late.contains(Id) ? 1 : 0;
    Lost += Held.contains(Id) ? 0 : 1;
  }
  Log.write("ONE: " + std::to_string(Broken) + " acknowledged writes; " +
            std::to_string(Lost) + " acknowledged writes are lost");
  for (Machine &Each : All)
    killProcess(Each);
  Log.write(Broken > 0 ? "the rule is broken" : "the rule holds");
  return Broken > 0 ? RuleBroken : 0;
}

} // namespace

} // namespace lab

int main(int Count, char **Arguments) {
  constexpr int Expected = 3;
  if (Count != Expected) {
    std::cerr << "usage: review-lab-3 FOLDER RECORD\n";
    return lab::CouldNotRun;
  }
  const char *Trouble = std::getenv("TROUBLE");
  lab::Record Log(Arguments[2]);
  bool WithTrouble = !Trouble || std::string_view(Trouble) != "0";
  int Result = lab::run(Arguments[1], Log, WithTrouble);
  // Threads of the stand-ins still wait for requests.
  std::_Exit(Result);
}
