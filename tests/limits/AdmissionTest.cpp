#include "limits/Admission.h"

#include "tests/support/Scenario.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(Duration SinceStart) { return TimePoint{} + SinceStart; }

AdmissionRequest request(const std::string &Account, AdmissionClass Class,
                         Duration Deadline, std::uint32_t Weight = 1) {
  return {.Account = ClientAccountId{Account},
          .Weight = Weight,
          .Class = Class,
          .Deadline = at(Deadline)};
}

TEST(Admission, FreedConnectionAdmitsExactlyOneWaitingStatement) {
  Admission Gate({});
  Gate.setCapacity(1, at({}));
  auto Read = request("a", AdmissionClass::SessionRead, seconds(10));
  EXPECT_TRUE(std::holds_alternative<AdmitNow>(Gate.admit(Read, at({}))));
  for (int Each = 0; Each < 5; ++Each)
    EXPECT_TRUE(
        std::holds_alternative<AdmissionQueued>(Gate.admit(Read, at({}))));
  auto Changes = Gate.onReleased(milliseconds(5), at(milliseconds(5)));
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_FALSE(Changes[0].Shed);
  EXPECT_EQ(Gate.inUse(), 1U);
  EXPECT_EQ(Gate.waiting(), 4U);
}

TEST(Admission, ShedsImmediatelyWithRetryAfter) {
  Admission Gate({});
  Gate.setCapacity(1, at({}));
  auto LongDeadline = request("a", AdmissionClass::SessionRead, seconds(10));
  for (int Each = 0; Each < 101; ++Each)
    Gate.admit(LongDeadline, at({}));
  // 100 statements wait, with an assumed service time of 5 ms each.
  auto Decision = Gate.admit(
      request("a", AdmissionClass::SessionRead, milliseconds(100)), at({}));
  ASSERT_TRUE(std::holds_alternative<Error>(Decision));
  const Error &Shed = std::get<Error>(Decision);
  EXPECT_EQ(Shed.Kind, ErrorKind::Overloaded);
  EXPECT_TRUE(provesNotRun(Shed.Kind));
  EXPECT_FALSE(Shed.Remedy.empty());
  EXPECT_GE(*Shed.RetryAfter, milliseconds(400));
  EXPECT_LE(*Shed.RetryAfter, milliseconds(700));
}

TEST(Admission, ShedsWaitingStatementsBeforeTheirDeadline) {
  Admission Gate({});
  Gate.setCapacity(2, at({}));
  auto Read = request("a", AdmissionClass::SessionRead, seconds(1));
  for (int Each = 0; Each < 22; ++Each)
    Gate.admit(Read, at({}));
  EXPECT_EQ(Gate.waiting(), 20U);
  EXPECT_TRUE(Gate.shedExpired(at(milliseconds(100))).empty());
  // After the member has become slow, fewer of them can be served in time.
  for (int Each = 0; Each < 2; ++Each)
    Gate.onReleased(milliseconds(1000), at(milliseconds(200)));
  auto Changes = Gate.shedExpired(at(milliseconds(200)));
  EXPECT_FALSE(Changes.empty());
  for (const AdmissionChange &Each : Changes)
    EXPECT_TRUE(Each.Shed);
}

TEST(Admission, GrantsFreeConnectionDespiteHighServiceTime) {
  Admission Gate({});
  Gate.setCapacity(1, at({}));
  auto Read = request("a", AdmissionClass::SessionRead, milliseconds(100));
  Gate.admit(Read, at({}));
  Gate.onReleased(seconds(60), at({}));
  EXPECT_TRUE(std::holds_alternative<AdmitNow>(Gate.admit(Read, at({}))));
}

TEST(Admission, ShedsEverythingWithoutCapacity) {
  Admission Gate({});
  auto Write = request("a", AdmissionClass::Write, seconds(30));
  EXPECT_TRUE(std::holds_alternative<Error>(Gate.admit(Write, at({}))));
}

TEST(Admission, CancelledStatementIsNotAdmitted) {
  Admission Gate({});
  Gate.setCapacity(1, at({}));
  auto Read = request("a", AdmissionClass::SessionRead, seconds(10));
  Gate.admit(Read, at({}));
  auto Ticket = std::get<AdmissionQueued>(Gate.admit(Read, at({}))).Ticket;
  EXPECT_TRUE(Gate.cancel(Ticket));
  EXPECT_FALSE(Gate.cancel(Ticket));
  EXPECT_TRUE(Gate.onReleased(milliseconds(5), at({})).empty());
  EXPECT_EQ(Gate.inUse(), 0U);
}

/// Reference implementation of the serving order: scans all waiting statements
/// for each decision.
class ReferenceOrder {
public:
  void add(std::uint64_t Ticket, const AdmissionRequest &Request) {
    auto &Class = this->Classes[static_cast<std::size_t>(Request.Class)];
    if (Class.Waiting.empty())
      Class.Pass = std::max(Class.Pass, this->VirtualTime);
    double Last = Class.VirtualTime;
    for (const Entry &Each : Class.Waiting)
      if (Each.Account == Request.Account)
        Last = std::max(Last, Each.Finish);
    Class.Waiting.push_back(
        {Ticket, Request.Account, Last + 1.0 / Request.Weight});
  }
  std::uint64_t next() {
    Group *Best = nullptr;
    for (Group &Each : this->Classes)
      if (!Each.Waiting.empty() && (!Best || Each.Pass < Best->Pass))
        Best = &Each;
    auto First =
        std::min_element(Best->Waiting.begin(), Best->Waiting.end(),
                         [](const Entry &Left, const Entry &Right) {
                           return std::pair(Left.Finish, Left.Ticket) <
                                  std::pair(Right.Finish, Right.Ticket);
                         });
    std::uint64_t Ticket = First->Ticket;
    this->VirtualTime = Best->Pass;
    Best->VirtualTime = First->Finish;
    Best->Pass += 1 / Best->Weight;
    Best->Waiting.erase(First);
    return Ticket;
  }

private:
  struct Entry {
    std::uint64_t Ticket;
    ClientAccountId Account;
    double Finish;
  };
  struct Group {
    double Weight;
    double Pass = 0;
    double VirtualTime = 0;
    std::deque<Entry> Waiting = {};
  };
  std::array<Group, AdmissionClassCount> Classes{Group{8}, Group{3}, Group{1}};
  double VirtualTime = 0;
};

TEST(AdmissionDifferential, ServingOrderMatchesReference) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t> &Events) {
    Admission Gate({});
    ReferenceOrder Reference;
    Gate.setCapacity(1, at({}));
    auto Long = seconds(600);
    Gate.admit(request("first", AdmissionClass::Write, Long), at({}));
    for (std::uint8_t Event : Events) {
      if (Event % 3 == 0 && Gate.waiting() > 0) {
        auto Changes = Gate.onReleased(milliseconds(5), at({}));
        RC_ASSERT(Changes.size() == 1U);
        RC_ASSERT(Changes[0].Ticket.Value == Reference.next());
        continue;
      }
      std::uint32_t Account = Event % 5;
      auto Request = request("account-" + std::to_string(Account),
                             static_cast<AdmissionClass>(Event % 7 % 3), Long,
                             Account + 1);
      auto Decision = Gate.admit(Request, at({}));
      RC_ASSERT(std::holds_alternative<AdmissionQueued>(Decision));
      Reference.add(std::get<AdmissionQueued>(Decision).Ticket.Value, Request);
    }
  }));
}

TEST(AdmissionProperty, StaysWithinCapacityAndAnswersEveryStatement) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t> &Events) {
    Admission Gate({});
    std::set<std::uint64_t> Waiting;
    std::size_t InUse = 0;
    std::size_t Capacity = 0;
    TimePoint Now;
    auto Take = [&](const std::vector<AdmissionChange> &Changes) {
      for (const AdmissionChange &Each : Changes) {
        RC_ASSERT(Waiting.erase(Each.Ticket.Value) == 1U);
        InUse += Each.Shed ? 0 : 1;
        RC_ASSERT(Each.Shed || InUse <= Capacity);
      }
    };
    for (std::uint8_t Event : Events) {
      Now += milliseconds(Event % 8);
      if (Event % 5 == 0) {
        Capacity = Event / 16;
        Take(Gate.setCapacity(Capacity, Now));
      } else if (Event % 5 == 1 && InUse > 0) {
        --InUse;
        Take(Gate.onReleased(milliseconds(Event), Now));
      } else if (Event % 5 == 2) {
        Take(Gate.shedExpired(Now));
      } else {
        auto Request = request("a" + std::to_string(Event % 4),
                               static_cast<AdmissionClass>(Event % 3),
                               (Now + milliseconds(Event)).time_since_epoch());
        auto Decision = Gate.admit(Request, Now);
        if (auto *Later = std::get_if<AdmissionQueued>(&Decision))
          Waiting.insert(Later->Ticket.Value);
        else if (std::holds_alternative<AdmitNow>(Decision))
          ++InUse;
      }
      RC_ASSERT(Gate.inUse() == InUse);
      RC_ASSERT(Gate.waiting() == Waiting.size());
    }
  }));
}

/// Offers load to one Admission in virtual time and counts the statements
/// served by account.
class AdmissionLoad {
public:
  explicit AdmissionLoad(EventQueue &Queue) : Queue(Queue), Gate({}) {}

  void setCapacity(std::size_t Count) {
    this->take(this->Gate.setCapacity(Count, this->Queue.now()));
  }
  void offer(const AdmissionRequest &Prototype, Duration Timeout,
             Duration Interval, TimePoint Until) {
    AdmissionRequest Request = Prototype;
    Request.Deadline = this->Queue.now() + Timeout;
    auto Decision = this->Gate.admit(Request, this->Queue.now());
    if (std::holds_alternative<AdmitNow>(Decision))
      this->serve(Request);
    else if (auto *Later = std::get_if<AdmissionQueued>(&Decision))
      this->Waiting.emplace(Later->Ticket, Request);
    if (this->Queue.now() + Interval < Until)
      this->Queue.scheduleAfter(
          Interval, [this, Prototype, Timeout, Interval, Until] {
            this->offer(Prototype, Timeout, Interval, Until);
          });
  }
  std::map<std::string, int> Served;
  int ServedAfterDeadline = 0;

private:
  void take(const std::vector<AdmissionChange> &Changes) {
    for (const AdmissionChange &Each : Changes) {
      AdmissionRequest Request = this->Waiting.at(Each.Ticket);
      this->Waiting.erase(Each.Ticket);
      if (!Each.Shed)
        this->serve(Request);
    }
  }
  void serve(const AdmissionRequest &Request) {
    constexpr Duration Service = milliseconds(5);
    this->Queue.scheduleAfter(Service, [this, Request, Service] {
      ++this->Served[Request.Account.Value];
      this->ServedAfterDeadline += this->Queue.now() > Request.Deadline ? 1 : 0;
      this->take(this->Gate.onReleased(Service, this->Queue.now()));
    });
  }

  EventQueue &Queue;
  Admission Gate;
  std::map<AdmissionTicket, AdmissionRequest> Waiting;
};

class AdmissionScenario : public ::testing::TestWithParam<std::string> {};

TEST_P(AdmissionScenario, Holds) {
  EventQueue Queue;
  AdmissionLoad Load(Queue);
  auto ClassOf = [](const std::string &Name) {
    return Name == "write"          ? AdmissionClass::Write
           : Name == "session_read" ? AdmissionClass::SessionRead
                                    : AdmissionClass::BoundedStalenessRead;
  };
  StepHandlers Handlers;
  Handlers["capacity"] = [&](YamlReader &Step) {
    Load.setCapacity(static_cast<std::size_t>(Step.number("connections", {})));
  };
  Handlers["offer"] = [&](YamlReader &Step) {
    AdmissionRequest Request;
    Request.Account = ClientAccountId{Step.name("account")};
    Request.Class = ClassOf(Step.text("class"));
    Request.Weight = static_cast<std::uint32_t>(Step.number("weight", {}, 1));
    Duration Timeout = Step.duration("deadline", {});
    Duration Interval = Step.duration("every", {});
    Load.offer(Request, Timeout, Interval,
               Queue.now() + Step.duration("for", {}));
  };
  Handlers["expect_served"] = [&](YamlReader &Step) {
    int Count = Load.Served[Step.name("account")];
    EXPECT_GE(Count, Step.number("min", {}));
    EXPECT_LE(Count, Step.number("max", {}));
  };
  runScenario(GetParam(), Queue, Handlers);
  EXPECT_EQ(Load.ServedAfterDeadline, 0);
}

INSTANTIATE_TEST_SUITE_P(Limits, AdmissionScenario,
                         ::testing::ValuesIn(scenarioFiles("limits/admission")),
                         [](const auto &Info) {
                           return scenarioName(Info.param);
                         });

} // namespace

} // namespace turmericpitch
