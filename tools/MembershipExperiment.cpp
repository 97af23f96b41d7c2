// Measures the membership exchange in virtual time: detection, false
// suspicions, spreading, traffic and joining, against size and loss.
#include "tools/MembershipFleet.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>

namespace turmericpitch {
namespace {

constexpr Duration Settling = std::chrono::seconds(30);
constexpr Duration Quiet = std::chrono::seconds(60);
constexpr Duration Look = std::chrono::milliseconds(100);
constexpr Duration LongestWait = std::chrono::seconds(120);
constexpr std::size_t MostObservers = 200;

std::string nameOf(std::size_t Index) {
  return "entry-" + std::to_string(Index);
}

struct Setting {
  std::size_t Instances = 0;
  std::size_t Zones = 1;
  double Loss = 0;
  std::uint64_t Seed = 1;
};

/// When a share of the observers came to believe something.
struct SpreadTimes {
  std::optional<Duration> First;
  std::optional<Duration> Half;
  std::optional<Duration> All;
};

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

std::ostream &operator<<(std::ostream &To,
                         const std::optional<Duration> &Length) {
  if (!Length)
    return To << "none";
  return To << std::fixed << std::setprecision(1) << seconds(*Length);
}

class Trial {
public:
  explicit Trial(const Setting &Given)
      : Given(Given), Fleet(this->Queue, this->options()) {}

  void run() {
    this->startAll();
    this->Queue.runUntil(TimePoint(Settling));
    this->measureQuiet();
    std::string Victim = nameOf(this->Given.Instances / 2);
    this->Fleet.kill(Victim);
    this->Suspected = this->watch([&](const std::string &Observer) {
      const KnownInstance *Known =
          this->Fleet.at(Observer).table().find(InstanceId{Victim});
      return Known && Known->Record.Health != InstanceHealth::Live;
    });
    this->Died = this->watch([&](const std::string &Observer) {
      const KnownInstance *Known =
          this->Fleet.at(Observer).table().find(InstanceId{Victim});
      return Known && Known->Record.Health == InstanceHealth::Dead;
    });
    this->measureJoin();
  }

  void print() const {
    auto Column = [](const auto &Value, int Width) {
      std::ostringstream Text;
      Text << std::fixed << std::setprecision(1) << Value;
      std::cout << std::setw(Width) << Text.str();
    };
    auto Time = [&](const std::optional<Duration> &Length) {
      std::ostringstream Text;
      Text << Length;
      std::cout << std::setw(8) << Text.str();
    };
    Column(this->Given.Instances, 9);
    std::cout << std::setw(6) << std::setprecision(0) << std::fixed
              << this->Given.Loss * 100;
    Time(this->Suspected.First);
    Time(this->Suspected.Half);
    Time(this->Suspected.All);
    Time(this->Died.All);
    Column(this->Suspicions, 11);
    Column(this->Deaths, 8);
    Column(this->MessagesPerSecond, 8);
    Column(this->BytesPerSecond, 8);
    Time(this->JoinTime);
    Time(this->JoinSpread.All);
    std::cout << std::endl;
  }

private:
  MembershipFleetOptions options() const {
    MembershipFleetOptions Options;
    Options.Loss = this->Given.Loss;
    Options.Seed = this->Given.Seed;
    Options.Encode = false;
    return Options;
  }

  std::string zoneOf(std::size_t Index) const {
    return "zone-" + std::to_string(Index % this->Given.Zones);
  }

  /// Instances know each other at the start, as after a long run.
  void startAll() {
    std::vector<InstanceRecord> All;
    for (std::size_t Index = 0; Index < this->Given.Instances; ++Index) {
      std::string Name = nameOf(Index);
      this->Fleet.start(Name, this->zoneOf(Index),
                        {nameOf((Index + 1) % this->Given.Instances)});
      All.push_back({.Id = InstanceId{Name},
                     .Zone = ZoneId{this->zoneOf(Index)},
                     .PeerEndpoint = MembershipFleet::endpointOf(Name),
                     .IncarnationNumber =
                         Incarnation{MembershipFleet::wallClock(TimePoint{})}});
    }
    this->Fleet.teach(All);
    std::size_t Step =
        std::max<std::size_t>(1, this->Given.Instances / MostObservers);
    for (std::size_t Index = 0; Index < this->Given.Instances; Index += Step)
      this->Observers.push_back(nameOf(Index));
  }

  void measureQuiet() {
    MembershipTraffic Before = this->Fleet.traffic();
    MembershipCounters Earlier = this->sum();
    this->Queue.runUntil(this->Queue.now() + Quiet);
    MembershipTraffic After = this->Fleet.traffic();
    MembershipCounters Later = this->sum();
    double Each = static_cast<double>(this->Given.Instances) * seconds(Quiet);
    this->MessagesPerSecond =
        static_cast<double>(After.Messages - Before.Messages) / Each;
    this->BytesPerSecond =
        static_cast<double>(After.Bytes - Before.Bytes) / Each;
    this->Suspicions = Later.Suspicions - Earlier.Suspicions;
    this->Deaths = Later.Deaths - Earlier.Deaths;
  }

  MembershipCounters sum() const {
    MembershipCounters Sum;
    for (const std::string &Name : this->Fleet.names()) {
      const MembershipCounters &Each = this->Fleet.at(Name).counters();
      Sum.Suspicions += Each.Suspicions;
      Sum.Deaths += Each.Deaths;
    }
    return Sum;
  }

  template <typename Callable> SpreadTimes watch(Callable Believes) {
    SpreadTimes Times;
    if (this->WatchBegan == TimePoint{})
      this->WatchBegan = this->Queue.now();
    TimePoint Until = this->WatchBegan + LongestWait;
    while (!Times.All && this->Queue.now() < Until) {
      std::size_t Count = 0;
      std::size_t Running = 0;
      for (const std::string &Observer : this->Observers) {
        if (!this->Fleet.runs(Observer))
          continue;
        ++Running;
        Count += Believes(Observer) ? 1 : 0;
      }
      Duration Passed = this->Queue.now() - this->WatchBegan;
      if (Count > 0 && !Times.First)
        Times.First = Passed;
      if (Count * 2 >= Running && !Times.Half)
        Times.Half = Passed;
      if (Count == Running)
        Times.All = Passed;
      else
        this->Queue.runUntil(this->Queue.now() + Look);
    }
    return Times;
  }

  void measureJoin() {
    std::string Name = nameOf(this->Given.Instances);
    this->Fleet.start(Name, this->zoneOf(0), {nameOf(0), nameOf(1)});
    this->WatchBegan = this->Queue.now();
    TimePoint Until = this->WatchBegan + LongestWait;
    while (!this->JoinTime && this->Queue.now() < Until) {
      this->Queue.runUntil(this->Queue.now() + Look);
      if (this->Fleet.at(Name).table().notDeadCount() >= this->Given.Instances)
        this->JoinTime = this->Queue.now() - this->WatchBegan;
    }
    this->JoinSpread = this->watch([&](const std::string &Observer) {
      return this->Fleet.at(Observer).table().find(InstanceId{Name}) != nullptr;
    });
  }

  Setting Given;
  EventQueue Queue;
  MembershipFleet Fleet;
  std::vector<std::string> Observers;
  TimePoint WatchBegan{};
  SpreadTimes Suspected;
  SpreadTimes Died;
  SpreadTimes JoinSpread;
  std::optional<Duration> JoinTime;
  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0;
  double MessagesPerSecond = 0;
  double BytesPerSecond = 0;
};

} // namespace
} // namespace turmericpitch

int main(int Count, char **Arguments) {
  cxxopts::Options Options("MembershipExperiment");
  Options.add_options()("sizes", "instances",
                        cxxopts::value<std::vector<std::size_t>>());
  Options.add_options()("zones", "availability zones",
                        cxxopts::value<std::size_t>()->default_value("18"));
  Options.add_options()(
      "losses", "shares of datagrams lost",
      cxxopts::value<std::vector<double>>()->default_value("0,0.01,0.1"));
  Options.add_options()("seed", "seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"));
  auto Parsed = Options.parse(Count, Arguments);
  std::cout << "times in s: first, half and all of the observers suspect a "
               "killed instance; all hold it dead; a new one knows all; all "
               "know it. Suspicions and deaths: false ones of all instances "
               "in 60 s. Messages and bytes: sent by each instance in 1 s.\n"
               "instances loss%   first    half     all    dead suspicions  "
               "deaths  msg/s bytes/s  joined   known\n";
  for (std::size_t Size : Parsed["sizes"].as<std::vector<std::size_t>>())
    for (double Loss : Parsed["losses"].as<std::vector<double>>()) {
      turmericpitch::Trial Running(
          {.Instances = Size,
           .Zones = Parsed["zones"].as<std::size_t>(),
           .Loss = Loss,
           .Seed = Parsed["seed"].as<std::uint64_t>()});
      Running.run();
      Running.print();
    }
  return 0;
}
