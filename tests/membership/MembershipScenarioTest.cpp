#include "tests/support/Scenario.h"
#include "tools/MembershipFleet.h"

#include "membership/DutyAssignment.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

std::string nameOf(const std::string &Zone, std::int64_t Index) {
  return Zone + "-" + std::to_string(Index);
}

/// Handlers for the steps of membership scenarios.
class MembershipSteps {
public:
  explicit MembershipSteps(EventQueue &Queue)
      : Queue(Queue), Fleet(Queue, MembershipFleetOptions{}) {}

  StepHandlers handlers() {
    return {
        {"start", [this](YamlReader &R) { this->start(R); }},
        {"kill", this->eachInstance(&MembershipFleet::kill)},
        {"pause", this->eachInstance(&MembershipFleet::pause)},
        {"resume", this->eachInstance(&MembershipFleet::resume)},
        {"leave", this->eachInstance(&MembershipFleet::beginLeaving)},
        {"depart", this->eachInstance(&MembershipFleet::depart)},
        {"restart", [this](YamlReader &R) { this->restart(R); }},
        {"cut", [this](YamlReader &R) { this->cut(R, true); }},
        {"heal", [this](YamlReader &R) { this->cut(R, false); }},
        {"loss",
         [this](YamlReader &R) {
           this->Fleet.setLoss(R.fraction("share", 0, 1));
         }},
        {"replay",
         [this](YamlReader &R) {
           this->Fleet.replay(R.text("instance"),
                              static_cast<std::size_t>(R.number("count", {})));
         }},
        {"platform_list",
         [this](YamlReader &R) { this->deliverPlatformList(R); }},
        {"expect", [this](YamlReader &R) { this->expect(R); }},
        {"expect_refutations",
         [this](YamlReader &R) { this->expectRefutations(R); }},
        {"expect_none_declared_dead",
         [this](YamlReader &) { this->expectNoneDeclaredDead(); }},
        {"expect_holders", [this](YamlReader &R) { this->expectHolders(R); }},
    };
  }

private:
  /// The instances named by `instances`, and all started instances of `zones`,
  /// which are named zone-0, zone-1 and so on.
  std::vector<std::string> instances(YamlReader &Reader) {
    std::vector<std::string> Names = Reader.texts("instances");
    for (const std::string &Zone : Reader.texts("zones"))
      for (const std::string &Name : this->Fleet.names())
        if (Name.starts_with(Zone + "-"))
          Names.push_back(Name);
    EXPECT_FALSE(Names.empty()) << "the step names no instances";
    return Names;
  }

  StepHandler eachInstance(void (MembershipFleet::*Act)(const std::string &)) {
    return [this, Act](YamlReader &Reader) {
      for (const std::string &Name : this->instances(Reader))
        (this->Fleet.*Act)(Name);
    };
  }

  void start(YamlReader &Reader) {
    auto Count = Reader.number("count", {.Min = 1});
    for (const std::string &Zone : Reader.texts("zones"))
      for (std::int64_t Index = 0; Index < Count; ++Index) {
        this->Fleet.start(nameOf(Zone, Index), Zone, this->Seeds);
        if (this->Seeds.size() < 3)
          this->Seeds.push_back(nameOf(Zone, Index));
      }
  }

  void restart(YamlReader &Reader) {
    for (const std::string &Name : this->instances(Reader))
      this->Fleet.start(Name, Name.substr(0, Name.rfind('-')), this->Seeds);
  }

  void cut(YamlReader &Reader, bool Cut) {
    bool OneWay = Reader.flag("one_way", false);
    for (const std::string &From : Reader.texts("from"))
      for (const std::string &To : Reader.texts("to")) {
        this->Fleet.setLinkBlocked(From, To, Cut);
        if (!OneWay)
          this->Fleet.setLinkBlocked(To, From, Cut);
      }
  }

  void deliverPlatformList(YamlReader &Reader) {
    bool Leaving = Reader.flag("leaving", false);
    Duration Since = Reader.duration("since", {}, Duration{0});
    std::vector<PlatformInstance> Entries;
    for (const std::string &Name : Reader.texts("names"))
      Entries.push_back(this->Fleet.platformEntry(
          Name, Leaving, MembershipFleet::wallClock(TimePoint(Since))));
    for (const std::string &Name : this->instances(Reader))
      this->Fleet.deliverPlatformList(Name, Entries);
  }

  /// Expects that each running instance in `observers` (default: all) sees each
  /// subject in the given state.
  void expect(YamlReader &Reader) {
    std::string State = Reader.text("state");
    std::vector<std::string> Subjects = this->instances(Reader);
    std::vector<std::string> Observers = Reader.texts("observers");
    if (Observers.empty())
      Observers = this->Fleet.names();
    for (const std::string &Observer : Observers) {
      if (!this->Fleet.isRunning(Observer))
        continue;
      MembershipSnapshot Snapshot = this->Fleet.snapshotOf(Observer);
      for (const std::string &Subject : Subjects) {
        const InstanceView *View = Snapshot.find(InstanceId{Subject});
        std::string Found =
            View ? std::string(toString(View->State)) : "unknown";
        EXPECT_EQ(Found, State) << Observer << " sees " << Subject;
      }
    }
  }

  void expectRefutations(YamlReader &Reader) {
    auto MinRefutations = static_cast<std::uint64_t>(Reader.number("min", {}));
    for (const std::string &Name : this->instances(Reader))
      EXPECT_GE(this->Fleet.protocolOf(Name).counters().Refutations,
                MinRefutations)
          << Name;
  }

  void expectNoneDeclaredDead() {
    for (const std::string &Name : this->Fleet.names())
      EXPECT_EQ(this->Fleet.protocolOf(Name).counters().Deaths, 0U) << Name;
  }

  /// Expects the number of instances that rank themselves first for a duty.
  void expectHolders(YamlReader &Reader) {
    auto Expected = static_cast<std::size_t>(Reader.number("count", {}));
    DutyKey Key{.Kind = Duty::Promote, .Subject = Reader.text("duty")};
    std::size_t Holders = 0;
    for (const std::string &Name : this->instances(Reader))
      if (this->Fleet.isRunning(Name) &&
          DutyAssignment(this->Fleet.snapshotOf(Name))
                  .rank(Key, InstanceId{Name}, 1) == 0U)
        ++Holders;
    EXPECT_EQ(Holders, Expected);
  }

  EventQueue &Queue;
  MembershipFleet Fleet;
  std::vector<std::string> Seeds;
};

class MembershipScenario : public ::testing::TestWithParam<std::string> {};

TEST_P(MembershipScenario, Runs) {
  EventQueue Queue;
  MembershipSteps Steps(Queue);
  runScenario(GetParam(), Queue, Steps.handlers());
}

INSTANTIATE_TEST_SUITE_P(Files, MembershipScenario,
                         ::testing::ValuesIn(scenarioFiles("membership")),
                         [](const auto &Info) {
                           return scenarioName(Info.param);
                         });

} // namespace
} // namespace turmericpitch
