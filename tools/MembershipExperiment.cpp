// Measures the membership protocol in virtual time: failure detection, false
// suspicions, dissemination, traffic and joining, by number of instances and
// datagram loss.
#include "tools/MembershipFleet.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>

namespace turmericpitch {
namespace {

constexpr Duration WarmUp = std::chrono::seconds(30);
constexpr Duration QuietPeriod = std::chrono::seconds(60);
constexpr Duration SampleInterval = std::chrono::milliseconds(100);
constexpr Duration MaxWait = std::chrono::seconds(120);
constexpr std::size_t MaxObservers = 200;

std::string instanceName(std::size_t Index) {
  return "entry-" + std::to_string(Index);
}

struct TrialConfig {
  std::size_t Instances = 0;
  std::size_t Zones = 1;
  double Loss = 0;
  std::uint64_t Seed = 1;
};

/// Time until the first, half and all of the observers reached a state.
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
  explicit Trial(const TrialConfig &Config)
      : Config(Config), Fleet(this->Queue, this->options()) {}

  void run() {
    this->startAll();
    this->Queue.runUntil(TimePoint(WarmUp));
    this->measureQuietPeriod();
    std::string Victim = instanceName(this->Config.Instances / 2);
    this->Fleet.kill(Victim);
    this->SuspicionTimes =
        this->measureSpread([&](const std::string &Observer) {
          const KnownInstance *Known =
              this->Fleet.protocolOf(Observer).table().find(InstanceId{Victim});
          return Known && Known->Record.Health != InstanceHealth::Live;
        });
    this->DeathTimes = this->measureSpread([&](const std::string &Observer) {
      const KnownInstance *Known =
          this->Fleet.protocolOf(Observer).table().find(InstanceId{Victim});
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
    Column(this->Config.Instances, 9);
    std::cout << std::setw(6) << std::setprecision(0) << std::fixed
              << this->Config.Loss * 100;
    Time(this->SuspicionTimes.First);
    Time(this->SuspicionTimes.Half);
    Time(this->SuspicionTimes.All);
    Time(this->DeathTimes.All);
    Column(this->Suspicions, 11);
    Column(this->Deaths, 8);
    Column(this->MessagesPerSecond, 8);
    Column(this->BytesPerSecond, 8);
    Time(this->JoinTime);
    Time(this->JoinSpreadTimes.All);
    std::cout << std::endl;
  }

private:
  MembershipFleetOptions options() const {
    MembershipFleetOptions Options;
    Options.Loss = this->Config.Loss;
    Options.Seed = this->Config.Seed;
    Options.Encode = false;
    return Options;
  }

  std::string zoneOf(std::size_t Index) const {
    return "zone-" + std::to_string(Index % this->Config.Zones);
  }

  /// Starts all instances with records of each other, as after a long run.
  void startAll() {
    std::vector<InstanceRecord> All;
    for (std::size_t Index = 0; Index < this->Config.Instances; ++Index) {
      std::string Name = instanceName(Index);
      this->Fleet.start(Name, this->zoneOf(Index),
                        {instanceName((Index + 1) % this->Config.Instances)});
      All.push_back({.Id = InstanceId{Name},
                     .Zone = ZoneId{this->zoneOf(Index)},
                     .PeerEndpoint = MembershipFleet::endpointOf(Name),
                     .IncarnationNumber =
                         Incarnation{MembershipFleet::wallClock(TimePoint{})}});
    }
    this->Fleet.preload(All);
    std::size_t Step =
        std::max<std::size_t>(1, this->Config.Instances / MaxObservers);
    for (std::size_t Index = 0; Index < this->Config.Instances; Index += Step)
      this->Observers.push_back(instanceName(Index));
  }

  void measureQuietPeriod() {
    MembershipTraffic Before = this->Fleet.traffic();
    MembershipCounters Earlier = this->sum();
    this->Queue.runUntil(this->Queue.now() + QuietPeriod);
    MembershipTraffic After = this->Fleet.traffic();
    MembershipCounters Later = this->sum();
    double InstanceSeconds =
        static_cast<double>(this->Config.Instances) * seconds(QuietPeriod);
    this->MessagesPerSecond =
        static_cast<double>(After.Messages - Before.Messages) / InstanceSeconds;
    this->BytesPerSecond =
        static_cast<double>(After.Bytes - Before.Bytes) / InstanceSeconds;
    this->Suspicions = Later.Suspicions - Earlier.Suspicions;
    this->Deaths = Later.Deaths - Earlier.Deaths;
  }

  MembershipCounters sum() const {
    MembershipCounters Sum;
    for (const std::string &Name : this->Fleet.names()) {
      const MembershipCounters &Each = this->Fleet.protocolOf(Name).counters();
      Sum.Suspicions += Each.Suspicions;
      Sum.Deaths += Each.Deaths;
    }
    return Sum;
  }

  template <typename Callable> SpreadTimes measureSpread(Callable Matches) {
    SpreadTimes Times;
    if (this->MeasurementStart == TimePoint{})
      this->MeasurementStart = this->Queue.now();
    TimePoint Until = this->MeasurementStart + MaxWait;
    while (!Times.All && this->Queue.now() < Until) {
      std::size_t Count = 0;
      std::size_t Running = 0;
      for (const std::string &Observer : this->Observers) {
        if (!this->Fleet.isRunning(Observer))
          continue;
        ++Running;
        Count += Matches(Observer) ? 1 : 0;
      }
      Duration Passed = this->Queue.now() - this->MeasurementStart;
      if (Count > 0 && !Times.First)
        Times.First = Passed;
      if (Count * 2 >= Running && !Times.Half)
        Times.Half = Passed;
      if (Count == Running)
        Times.All = Passed;
      else
        this->Queue.runUntil(this->Queue.now() + SampleInterval);
    }
    return Times;
  }

  void measureJoin() {
    std::string Name = instanceName(this->Config.Instances);
    this->Fleet.start(Name, this->zoneOf(0),
                      {instanceName(0), instanceName(1)});
    this->MeasurementStart = this->Queue.now();
    TimePoint Until = this->MeasurementStart + MaxWait;
    while (!this->JoinTime && this->Queue.now() < Until) {
      this->Queue.runUntil(this->Queue.now() + SampleInterval);
      if (this->Fleet.protocolOf(Name).table().notDeadCount() >=
          this->Config.Instances)
        this->JoinTime = this->Queue.now() - this->MeasurementStart;
    }
    this->JoinSpreadTimes =
        this->measureSpread([&](const std::string &Observer) {
          return this->Fleet.protocolOf(Observer).table().find(
                     InstanceId{Name}) != nullptr;
        });
  }

  TrialConfig Config;
  EventQueue Queue;
  MembershipFleet Fleet;
  std::vector<std::string> Observers;
  TimePoint MeasurementStart{};
  SpreadTimes SuspicionTimes;
  SpreadTimes DeathTimes;
  SpreadTimes JoinSpreadTimes;
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
  Options.add_options()("sizes", "numbers of instances",
                        cxxopts::value<std::vector<std::size_t>>());
  Options.add_options()("zones", "availability zones",
                        cxxopts::value<std::size_t>()->default_value("18"));
  Options.add_options()(
      "losses", "fractions of datagrams lost",
      cxxopts::value<std::vector<double>>()->default_value("0,0.01,0.1"));
  Options.add_options()("seed", "seed of all randomness",
                        cxxopts::value<std::uint64_t>()->default_value("1"));
  auto Parsed = Options.parse(Count, Arguments);
  std::cout << "Times in s until the first, half and all of the observers "
               "suspect a killed instance; until all consider it dead; until a "
               "new instance knows all others; until all know the new one. "
               "Suspicions and deaths: false ones, over all instances, in 60 "
               "s. Messages and bytes: sent per instance and second.\n"
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
