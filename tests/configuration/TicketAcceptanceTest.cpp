#include "tests/configuration/AcceptanceFixture.h"
#include "tests/support/Scenario.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

/// Outcome of a submission as named in the scenarios.
std::string outcomeName(const AcceptanceFixture::Submission &Entry) {
  if (!Entry.FinalOutcome)
    return "waiting";
  return *Entry.FinalOutcome
             ? "accepted"
             : std::string(toString(Entry.FinalOutcome->error().Kind));
}

class AcceptanceScenario : public ::testing::TestWithParam<std::string> {
protected:
  StepHandlers handlers() {
    StepHandlers Steps;
    Steps["submit"] = [this](YamlReader &Step) {
      auto Number = static_cast<std::uint64_t>(Step.number("ticket", {}));
      auto ExtraBrands =
          static_cast<std::size_t>(Step.number("extra_brands", {}, 0));
      this->Fixture.submit(Step.name("submitter"),
                           brandTicket(Number, Step.name("host"), ExtraBrands));
    };
    Steps["platform"] = [this](YamlReader &Step) {
      KeyValueFaults &Faults = this->Fixture.Store.faults();
      Faults.Outage = Step.flag("outage", Faults.Outage);
      Faults.WriteAnswersToLose =
          static_cast<std::uint32_t>(Step.number("lose_answers", {}, 0));
      Faults.AddedLatency = Step.duration("slowness", {}, Faults.AddedLatency);
    };
    Steps["pause"] = [this](YamlReader &Step) {
      this->Fixture.pause(Step.name("submitter"));
    };
    Steps["resume"] = [this](YamlReader &Step) {
      this->Fixture.resume(Step.name("submitter"));
    };
    Steps["expect_outcome"] = [this](YamlReader &Step) {
      std::string Submitter = Step.name("submitter");
      EXPECT_EQ(outcomeName(this->Fixture.Submissions[Submitter]),
                Step.name("outcome"))
          << Submitter;
    };
    Steps["expect_stored"] = [this](YamlReader &Step) {
      ConfigurationSnapshot Stored = this->Fixture.stored();
      EXPECT_EQ(Stored.newestTicket().Value,
                static_cast<std::uint64_t>(Step.number("ticket", {})));
      EXPECT_EQ(Stored.head().AcceptedCount,
                static_cast<std::uint64_t>(Step.number("accepted", {})));
      EXPECT_EQ(Stored.brand(BrandId{"shared"})->Host, Step.name("host"));
    };
    return Steps;
  }

  AcceptanceFixture Fixture;
};

TEST_P(AcceptanceScenario, Runs) {
  runScenario(GetParam(), this->Fixture.Queue, this->handlers());
}

INSTANTIATE_TEST_SUITE_P(
    Configuration, AcceptanceScenario,
    ::testing::ValuesIn(scenarioFiles("configuration/acceptance")),
    [](const auto &Case) { return scenarioName(Case.param); });

TEST(TicketAcceptance, CostsOneReadAndOneWriteAboveACurrentBase) {
  AcceptanceFixture Fixture;
  Fixture.submit("first", brandTicket(1, "one", 90));
  Fixture.Queue.runUntil(TimePoint(milliseconds(100)));
  auto Base = std::make_shared<const ConfigurationSnapshot>(Fixture.stored());
  Fixture.submit("second", brandTicket(2, "two"), Base);
  Fixture.Queue.runUntil(TimePoint(milliseconds(200)));
  Fixture.submit(
      "third", brandTicket(3, "three"),
      std::make_shared<const ConfigurationSnapshot>(Fixture.stored()));
  Fixture.Queue.runUntil(TimePoint(milliseconds(300)));
  const auto &Third = Fixture.Submissions["third"];
  EXPECT_EQ(outcomeName(Third), "accepted");
  EXPECT_EQ(Third.Calls, 2U);
  EXPECT_LT(Third.BytesRead, 500U);
}

TEST(TicketAcceptance, FailsWhenThePlatformWasRolledBack) {
  AcceptanceFixture Fixture;
  Fixture.submit("first", brandTicket(1, "one"));
  Fixture.Queue.runUntil(TimePoint(milliseconds(100)));
  KeyValueStore Backup = Fixture.Store;
  Fixture.submit("second", brandTicket(2, "two"));
  Fixture.Queue.runUntil(TimePoint(milliseconds(200)));
  auto Base = std::make_shared<const ConfigurationSnapshot>(Fixture.stored());
  Fixture.Store = Backup;
  Fixture.submit("third", brandTicket(3, "three"), Base);
  Fixture.Queue.runUntil(TimePoint(milliseconds(300)));
  EXPECT_EQ(outcomeName(Fixture.Submissions["third"]), "Unavailable");
  EXPECT_EQ(Fixture.stored().newestTicket(), TicketNumber{1});
}

TEST(TicketAcceptance, ReportsEveryProblemInOneError) {
  AcceptanceFixture Fixture;
  Ticket Invalid;
  Invalid.Id = TicketNumber{1};
  Invalid.Brands = {{.Id = BrandId{"a"}, .Host = "same"},
                    {.Id = BrandId{"b"}, .Host = "same"}};
  Invalid.DatabaseServices = {{.Id = ServiceId{"s"},
                               .Owner = BrandId{"nobody"},
                               .Databases = {DatabaseId{"gone"}}}};
  std::string Digest(64, 'd');
  Invalid.ClientAccounts = {{.Id = ClientAccountId{"x"},
                             .Owner = BrandId{"a"},
                             .CredentialDigest = Digest,
                             .Services = {ServiceId{"s"}}},
                            {.Id = ClientAccountId{"y"},
                             .Owner = BrandId{"missing"},
                             .CredentialDigest = Digest,
                             .Services = {ServiceId{"lost"}}}};
  Fixture.submit("wrong", Invalid);
  Fixture.Queue.runUntil(TimePoint(milliseconds(100)));
  const auto &FinalOutcome = *Fixture.Submissions["wrong"].FinalOutcome;
  ASSERT_FALSE(FinalOutcome);
  EXPECT_EQ(FinalOutcome.error().Kind, ErrorKind::BadRequest);
  for (const char *Part :
       {"already used by another brand",
        "already used by another client account", "unknown brand nobody",
        "unknown database gone", "unknown brand missing",
        "unknown database service lost", "a service of another brand"})
    EXPECT_NE(FinalOutcome.error().Message.find(Part), std::string::npos)
        << Part << " in " << FinalOutcome.error().Message;
  EXPECT_TRUE(Fixture.writtenHeads().empty());
}

TEST(TicketAcceptance, StoresABoundedNumberOfTicketDigests) {
  AcceptanceFixture Fixture;
  auto Base = std::make_shared<const ConfigurationSnapshot>();
  auto Number = std::uint64_t{1};
  for (; Number <= RetainedTickets + 10; ++Number) {
    Fixture.submit("one", brandTicket(Number, "host"), Base);
    Fixture.Queue.runUntil(Fixture.Queue.now() + milliseconds(10));
    ASSERT_EQ(outcomeName(Fixture.Submissions["one"]), "accepted") << Number;
    const auto &Applied =
        Fixture.Submissions["one"].FinalOutcome->value().Change;
    Base = std::make_shared<const ConfigurationSnapshot>(
        toOutcome([&] { return Base->withChange(Applied); }).value());
  }
  EXPECT_EQ(Base->records(), Fixture.stored().records());
  Fixture.submit("kept", brandTicket(Number - 5, "host"));
  Fixture.submit("changed", brandTicket(Number - 5, "other"));
  Fixture.submit("forgotten", brandTicket(3, "host"));
  Fixture.Queue.runUntil(Fixture.Queue.now() + milliseconds(100));
  EXPECT_EQ(outcomeName(Fixture.Submissions["kept"]), "accepted");
  EXPECT_EQ(outcomeName(Fixture.Submissions["changed"]), "BadRequest");
  EXPECT_EQ(outcomeName(Fixture.Submissions["forgotten"]), "Superseded");
  auto Kept = Fixture.Store.call(
      RangeRequest{.Key = std::string(TicketPrefix), .Prefix = true},
      Fixture.Queue.now() + minutes(1));
  EXPECT_EQ(Kept.value().Entries.size(), RetainedTickets);
}

TEST(TicketAcceptance, MovesObjectsOfLargeTicketsToTheirOwnKeys) {
  AcceptanceFixture Fixture;
  std::uint64_t Number = 1;
  for (; Number <= 7; ++Number) {
    Fixture.submit("large", brandTicket(Number, "host", 500));
    Fixture.Queue.runUntil(Fixture.Queue.now() + std::chrono::seconds(1));
    ASSERT_EQ(outcomeName(Fixture.Submissions["large"]), "accepted") << Number;
  }
  EXPECT_LE(Fixture.stored().head().LargeTickets.size(), 4U);
  for (; Number <= 40; ++Number) {
    Fixture.submit("small", brandTicket(Number, "host"));
    Fixture.Queue.runUntil(Fixture.Queue.now() + std::chrono::seconds(1));
    ASSERT_EQ(outcomeName(Fixture.Submissions["small"]), "accepted") << Number;
  }
  EXPECT_TRUE(Fixture.stored().head().LargeTickets.empty());
  auto Remaining = Fixture.Store.call(
      RangeRequest{.Key = std::string(LargeTicketPrefix), .Prefix = true},
      Fixture.Queue.now() + minutes(1));
  EXPECT_TRUE(Remaining.value().Entries.empty());
  EXPECT_EQ(Fixture.stored().objectCount(), 501U);
  EXPECT_EQ(Fixture.stored().objectsLastSetBy(TicketNumber{7}).size(), 500U);
}

/// Reference model: a single copy to which tickets are applied in sequence.
struct ReferenceModel {
  std::uint64_t Newest = 0;
  std::map<std::string, std::string> HostByBrand;

  void apply(const Ticket &Subject) {
    ASSERT_GT(Subject.Id.Value, this->Newest);
    this->Newest = Subject.Id.Value;
    for (const Brand &Each : Subject.Brands)
      this->HostByBrand[Each.Id.Value] = Each.Host;
  }
};

std::map<std::string, std::string>
hostsOf(const ConfigurationSnapshot &Snapshot) {
  std::map<std::string, std::string> Hosts;
  for (const auto &[Key, Record] : Snapshot.records())
    Hosts[Key.Id] = Snapshot.brand(BrandId{Key.Id})->Host;
  return Hosts;
}

/// Switches platform faults on and off at random times in the first 3 s.
void scheduleFaults(AcceptanceFixture &Fixture) {
  auto Count = *rc::gen::inRange(0, 8);
  for (int Index = 0; Index < Count; ++Index) {
    TimePoint When(milliseconds(*rc::gen::inRange(0, 3000)));
    auto Which = *rc::gen::inRange(0, 4);
    auto Amount = *rc::gen::inRange(1, 4);
    Fixture.Queue.scheduleAt(When, [&Fixture, Which, Amount] {
      KeyValueFaults &Faults = Fixture.Store.faults();
      if (Which == 0)
        Faults.WriteAnswersToLose = static_cast<std::uint32_t>(Amount);
      else if (Which == 1)
        Faults.Outage = true;
      else if (Which == 2)
        Faults = {};
      else
        Faults.AddedLatency = milliseconds(100 * Amount);
    });
  }
}

TEST(TicketAcceptance, MovingALargeTicketNeverUndoesALaterOne) {
  AcceptanceFixture Fixture;
  constexpr std::size_t Large = 150;
  Fixture.submit("large", brandTicket(1, "old", Large));
  Fixture.Queue.runUntil(TimePoint(milliseconds(100)));
  Fixture.submit("later", brandTicket(2, "new", 1));
  Fixture.Queue.runUntil(TimePoint(milliseconds(200)));
  EXPECT_EQ(outcomeName(Fixture.Submissions["later"]), "accepted");
  auto Hosts = hostsOf(Fixture.stored());
  EXPECT_EQ(Hosts.at("extra-0"), "extra-0.new");
  EXPECT_EQ(Hosts.at("extra-1"), "extra-1.old");
}

RC_GTEST_PROP(TicketAcceptance, MatchesTheReferenceModelUnderRandomFaults, ()) {
  AcceptanceFixture Fixture;
  scheduleFaults(Fixture);
  auto Count = *rc::gen::inRange(1, 10);
  for (int Index = 0; Index < Count; ++Index) {
    auto Number = static_cast<std::uint64_t>(*rc::gen::inRange(1, 8));
    std::string Host = *rc::gen::element<std::string>("x", "y");
    auto Extra = static_cast<std::size_t>(*rc::gen::element(0, 1, 150));
    TimePoint When(milliseconds(*rc::gen::inRange(0, 20) * 100));
    TimePoint PausedUntil =
        When + milliseconds(*rc::gen::element(0, 0, 2, 4, 5000));
    std::string Name = "s" + std::to_string(Index);
    Fixture.Queue.scheduleAt(When, [=, &Fixture] {
      Fixture.submit(Name, brandTicket(Number, Host, Extra));
      if (PausedUntil > When)
        Fixture.pause(Name);
    });
    Fixture.Queue.scheduleAt(PausedUntil,
                             [=, &Fixture] { Fixture.resume(Name); });
  }
  Fixture.Queue.runUntil(TimePoint(minutes(5)));

  std::map<std::string, const Ticket *> ByDigest;
  for (const auto &[Name, Entry] : Fixture.Submissions)
    ByDigest[digestOf(Entry.Subject)] = &Entry.Subject;
  ReferenceModel Model;
  std::set<std::string> Accepted;
  for (const TicketHead &Head : Fixture.writtenHeads())
    if (Accepted.insert(Head.Digest).second)
      Model.apply(*ByDigest.at(Head.Digest));
    else
      RC_ASSERT(Head.Newest.Value == Model.Newest);
  for (const auto &[Name, Entry] : Fixture.Submissions) {
    RC_ASSERT(Entry.FinalOutcome.has_value());
    bool WasAccepted = Accepted.contains(digestOf(Entry.Subject));
    if (*Entry.FinalOutcome)
      RC_ASSERT(WasAccepted);
    else if (Entry.FinalOutcome->error().Kind == ErrorKind::BadRequest ||
             Entry.FinalOutcome->error().Kind == ErrorKind::Superseded)
      RC_ASSERT(!WasAccepted);
  }
  RC_ASSERT(hostsOf(Fixture.stored()) == Model.HostByBrand);
  RC_ASSERT(Fixture.stored().newestTicket().Value == Model.Newest);
}

} // namespace
} // namespace turmericpitch
