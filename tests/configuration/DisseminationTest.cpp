#include "tests/configuration/AcceptanceFixture.h"
#include "tests/support/Scenario.h"
#include "tools/ConfigurationNetwork.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <utility>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs scenarios on a network of a few instances. Checks whenever a ticket is
/// applied that it is newer than the previous one of the instance.
class DisseminationScenario : public ::testing::TestWithParam<std::string> {
protected:
  ConfigurationNetwork &network() {
    if (!this->Network)
      this->begin({});
    return *this->Network;
  }

  void begin(ConfigurationNetworkOptions Options) {
    this->Network.emplace(std::move(Options));
    this->Network->OnApplied = [this](std::size_t Index, TicketNumber Newest) {
      EXPECT_GT(Newest, this->LastApplied[Index]) << "instance " << Index;
      this->LastApplied[Index] = Newest;
    };
  }

  static std::size_t readIndex(YamlReader &Step, const std::string &Key) {
    return static_cast<std::size_t>(Step.number(Key, {}));
  }

  /// The instances that a step selects: one, all of a zone, or all. Paused
  /// readers are left out unless selected by index.
  std::vector<std::size_t> selectedInstances(YamlReader &Step) {
    std::vector<std::size_t> Found;
    if (Step.has("instance"))
      return {readIndex(Step, "instance")};
    std::optional<std::size_t> Zone;
    if (Step.has("zone"))
      Zone = readIndex(Step, "zone");
    for (std::size_t Index = 0; Index < this->Instances; ++Index)
      if ((!Zone || this->network().zoneOf(Index) == *Zone) &&
          !this->PausedReaders.contains(Index))
        Found.push_back(Index);
    return Found;
  }

  void addNetworkSteps(StepHandlers &Steps) {
    Steps["network"] = [this](YamlReader &Step) {
      ConfigurationNetworkOptions Options;
      Options.Instances = readIndex(Step, "instances");
      Options.Zones = readIndex(Step, "zones");
      Options.Loss = Step.fraction("loss", 0, 1, 0);
      this->Instances = Options.Instances;
      this->begin(Options);
    };
    Steps["start"] = [this](YamlReader &Step) {
      for (std::size_t Index : this->selectedInstances(Step)) {
        this->LastApplied[Index] = {};
        this->network().start(Index);
      }
    };
    Steps["kill"] = [this](YamlReader &Step) {
      for (std::size_t Index : this->selectedInstances(Step))
        this->network().kill(Index);
    };
    Steps["pause"] = [this](YamlReader &Step) {
      for (std::size_t Index : this->selectedInstances(Step))
        this->network().pause(Index);
    };
    Steps["resume"] = [this](YamlReader &Step) {
      for (std::size_t Index : this->selectedInstances(Step))
        this->network().resume(Index);
    };
    Steps["pause_readers"] = [this](YamlReader &Step) {
      for (std::size_t Index : this->selectedInstances(Step))
        if (this->network().readsPlatform(Index)) {
          this->PausedReaders.insert(Index);
          this->network().pause(Index);
        }
      EXPECT_EQ(this->PausedReaders.size(), 2U);
    };
    Steps["resume_readers"] = [this](YamlReader &) {
      for (std::size_t Index : std::exchange(this->PausedReaders, {}))
        this->network().resume(Index);
    };
    Steps["cut"] = [this](YamlReader &Step) {
      std::size_t Zone = readIndex(Step, "zone");
      if (Step.flag("peers", true))
        this->network().isolateZone(Zone);
      if (Step.flag("platform", true))
        this->network().blockPlatform(Zone);
    };
    Steps["heal"] = [this](YamlReader &Step) {
      std::size_t Zone = readIndex(Step, "zone");
      this->network().reconnectZone(Zone);
      this->network().unblockPlatform(Zone);
    };
  }

  void addPlatformSteps(StepHandlers &Steps) {
    Steps["platform"] = [this](YamlReader &Step) {
      KeyValueFaults &Faults = this->network().Store.faults();
      Faults.Outage = Step.flag("outage", Faults.Outage);
      Faults.AddedLatency = Step.duration("slowness", {}, Faults.AddedLatency);
    };
    Steps["back_up_platform"] = [this](YamlReader &) {
      this->Backup = this->network().Store;
    };
    Steps["restore_platform"] = [this](YamlReader &) {
      this->network().Store = this->Backup;
    };
    Steps["ticket"] = [this](YamlReader &Step) {
      auto Number = static_cast<std::uint64_t>(Step.number("number", {}));
      auto ExtraBrands =
          static_cast<std::size_t>(Step.number("extra_brands", {}, 0));
      ConfigurationChange Accepted = this->network().accept(
          brandTicket(Number, "h" + std::to_string(Number), ExtraBrands));
      if (Step.has("acceptor"))
        this->network().notifyAccepted(readIndex(Step, "acceptor"), Accepted);
    };
  }

  void addChecks(StepHandlers &Steps) {
    Steps["expect_active"] = [this](YamlReader &Step) {
      auto Number = static_cast<std::uint64_t>(Step.number("ticket", {}));
      for (std::size_t Index : this->selectedInstances(Step)) {
        EXPECT_EQ(this->network().activeTicket(Index).Value, Number)
            << "instance " << Index;
        SharedConfiguration Current = this->network().configuration(Index);
        if (Number == 0 || !Current)
          continue;
        EXPECT_EQ(Current->brand(BrandId{"shared"})->Host,
                  "h" + std::to_string(Number));
      }
    };
    Steps["expect_platform_calls_below"] = [this](YamlReader &Step) {
      const KeyValueCounters &Counters = this->network().Store.counters();
      EXPECT_LT(Counters.Reads + Counters.Refused,
                static_cast<std::uint64_t>(Step.number("calls", {})));
    };
    Steps["expect_warning"] = [this](YamlReader &Step) {
      std::string Expected = Step.text("contains");
      bool Found = false;
      for (const Error &Warning : this->network().warnings())
        Found = Found || Warning.Message.find(Expected) != std::string::npos;
      EXPECT_TRUE(Found) << Expected;
    };
    Steps["request_reports"] = [this](YamlReader &Step) {
      this->network().requestAllReports(readIndex(Step, "instance"));
    };
    Steps["expect_reports"] = [this](YamlReader &Step) {
      std::size_t Requester = readIndex(Step, "instance");
      auto Number = static_cast<std::uint64_t>(Step.number("ticket", {}));
      std::size_t Active = 0;
      std::size_t Reported = 0;
      for (const auto &[Id, Report] :
           this->network().instance(Requester).reports()) {
        ++Reported;
        Active += Report.Newest.Value >= Number ? 1 : 0;
      }
      EXPECT_EQ(Reported, readIndex(Step, "reported"));
      EXPECT_EQ(Active, readIndex(Step, "in_force"));
    };
  }

  StepHandlers handlers() {
    StepHandlers Steps;
    this->addNetworkSteps(Steps);
    this->addPlatformSteps(Steps);
    this->addChecks(Steps);
    return Steps;
  }

  std::optional<ConfigurationNetwork> Network;
  std::size_t Instances = 0;
  /// Instances paused by pause_readers.
  std::set<std::size_t> PausedReaders;
  KeyValueStore Backup;
  std::map<std::size_t, TicketNumber> LastApplied;
};

TEST_P(DisseminationScenario, Runs) {
  // The first step creates the network; all others run on the queue of the
  // network.
  EventQueue Steps;
  StepHandlers Handlers = this->handlers();
  for (auto &[Name, Handler] : Handlers)
    Handler = [this, &Steps, Inner = Handler](YamlReader &Step) {
      if (this->Network)
        this->Network->Queue.runUntil(Steps.now());
      Inner(Step);
    };
  runScenario(GetParam(), Steps, Handlers);
}

INSTANTIATE_TEST_SUITE_P(
    Configuration, DisseminationScenario,
    ::testing::ValuesIn(scenarioFiles("configuration/dissemination")),
    [](const auto &Case) { return scenarioName(Case.param); });

/// Injects faults at random times and then removes them all. Every instance
/// must end with the newest ticket of the platform. Until then, each may only
/// apply newer tickets, and only completely.
RC_GTEST_PROP(Dissemination, ConvergesToThePlatformAfterRandomFaults, ()) {
  ConfigurationNetworkOptions Options;
  Options.Instances = 7;
  Options.Zones = 3;
  Options.Loss = 0.2;
  Options.Seed = static_cast<std::uint64_t>(*rc::gen::inRange(1, 100'000));
  ConfigurationNetwork Network(Options);
  std::map<std::size_t, TicketNumber> LastApplied;
  bool Consistent = true;
  Network.OnApplied = [&](std::size_t Index, TicketNumber Newest) {
    Consistent = Consistent && Newest > LastApplied[Index];
    LastApplied[Index] = Newest;
    // Each ticket sets two brands to hosts that contain its number.
    std::string Host = "h" + std::to_string(Newest.Value);
    SharedConfiguration Current = Network.configuration(Index);
    Consistent = Consistent &&
                 Current->brand(BrandId{"shared"})->Host == Host &&
                 Current->brand(BrandId{"extra-0"})->Host == "extra-0." + Host;
  };
  Network.startAll();
  std::uint64_t Number = 0;
  auto Steps = *rc::gen::inRange(1, 25);
  for (int Step = 0; Step < Steps; ++Step) {
    auto Index = static_cast<std::size_t>(*rc::gen::inRange(0, 7));
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
      Network.isolateZone(Network.zoneOf(Index));
      break;
    case 1:
      Network.reconnectZone(Network.zoneOf(Index));
      break;
    case 2:
      Network.blockPlatform(Network.zoneOf(Index));
      break;
    case 3:
      Network.pause(Index);
      break;
    case 4:
      Network.resume(Index);
      break;
    case 5:
      Network.kill(Index);
      LastApplied[Index] = {};
      Network.start(Index);
      break;
    default:
      ++Number;
      ConfigurationChange Accepted =
          Network.accept(brandTicket(Number, "h" + std::to_string(Number), 1));
      if (Number % 2 == 0)
        Network.notifyAccepted(Index, Accepted);
    }
    Network.Queue.runUntil(Network.Queue.now() +
                           milliseconds(*rc::gen::inRange(0, 3000)));
  }
  for (std::size_t Index = 0; Index < 7; ++Index) {
    Network.reconnectZone(Network.zoneOf(Index));
    Network.unblockPlatform(Network.zoneOf(Index));
    Network.resume(Index);
  }
  Network.Queue.runUntil(Network.Queue.now() + seconds(30));
  RC_ASSERT(Consistent);
  for (std::size_t Index = 0; Index < 7; ++Index)
    RC_ASSERT(Network.activeTicket(Index).Value == Number);
}

TEST(ConfigurationMessages, DecodeToTheEncodedMessage) {
  ConfigurationNetwork Network({.Instances = 1});
  ConfigurationMessage Change = Network.accept(brandTicket(3, "host", 120));
  ConfigurationMessage Announced =
      ConfigurationAnnouncement{.Newest = TicketNumber{7},
                                .Digest = "d",
                                .PlatformReplyAge = milliseconds(20),
                                .Problem = ConfigurationProblem::Unreadable,
                                .WantsReply = true,
                                .OffersCopy = true};
  for (const ConfigurationMessage &Message : {Change, Announced}) {
    auto Read =
        toOutcome([&] { return decodeMessage(encodeMessage(Message)); });
    ASSERT_TRUE(Read);
    EXPECT_EQ(Read.value(), Message);
  }
}

RC_GTEST_PROP(ConfigurationMessages, DecodeOrRejectDamagedBytes, ()) {
  ConfigurationNetwork Network({.Instances = 1});
  std::string Bytes = encodeMessage(Network.accept(brandTicket(3, "h", 3)));
  auto Changes = *rc::gen::inRange(1, 6);
  for (int Change = 0; Change < Changes; ++Change) {
    auto At = static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(Bytes.size())));
    Bytes[At] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  Bytes.resize(static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(Bytes.size()) + 1)));
  auto Read = toOutcome([&] { return decodeMessage(Bytes); });
  if (Read)
    RC_ASSERT(encodeMessage(Read.value()).size() <= Bytes.size() + 8);
  else
    RC_ASSERT(Read.error().Kind == ErrorKind::BadRequest);
}

RC_GTEST_PROP(Ticket, ParsesOrRejectsDamagedText, ()) {
  std::string Text = "ticket: 4\nbrands:\n  - { name: a, host: a.example }\n"
                     "removed:\n  - { kind: brand, name: b }\n";
  auto Changes = *rc::gen::inRange(1, 8);
  for (int Change = 0; Change < Changes; ++Change) {
    auto At = static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(Text.size())));
    Text[At] = *rc::gen::element('\n', ' ', ':', '{', '}', '-', '[', '&', '*',
                                 '"', '0', '\0', '\xff');
  }
  auto Read = toOutcome([&] { return parseTicket(Text, "t"); });
  if (!Read)
    RC_ASSERT(Read.error().Kind == ErrorKind::BadRequest);
}

} // namespace
} // namespace turmericpitch
