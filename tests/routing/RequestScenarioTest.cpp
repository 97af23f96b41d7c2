#include "tests/routing/TransactionHarness.h"
#include "tests/support/Scenario.h"

#include <gtest/gtest.h>

namespace turmericpitch {

namespace {

class RequestScenario : public ::testing::TestWithParam<std::string> {
protected:
  void addMembers(YamlReader &Step) {
    for (YamlReader &Each : Step.mappings("members")) {
      DatabaseMember Member;
      Member.Id = UpstreamId{Each.text("id")};
      Member.Zone = ZoneId{Each.text("zone", "zone-a")};
      this->Harness.addMember(Member, Each.duration("lag", {}, Duration{0}));
      Each.finish();
    }
    this->Harness.start(Step.texts("instances"));
  }

  void runStatement(YamlReader &Step) {
    HarnessStatement Statement;
    Statement.Name = Step.text("name");
    Statement.Instance = Step.text("instance");
    Statement.Session = Step.text("session", "");
    Statement.Request.Statement = Step.text("text");
    Statement.Request.Write = Step.flag("write", false);
    Statement.Request.Repeatable = Step.flag("repeatable", false);
    if (Step.has("key"))
      Statement.Request.Key = IdempotencyKey{Step.text("key")};
    if (Step.has("max_age"))
      Statement.Request.MaximumAge = Step.duration("max_age", {});
    Statement.Request.Timeout =
        Step.duration("timeout", {}, std::chrono::seconds(2));
    this->Harness.run(Statement);
  }

  void expectResult(YamlReader &Step) {
    std::string Name = Step.text("name");
    const HarnessResult &Result = this->Harness.result(Name);
    std::string Wanted = Step.text("outcome", "done");
    std::string Actual = "pending";
    if (Result.Answer)
      Actual = *Result.Answer
                   ? "done"
                   : std::string(toString(Result.Answer->error().Kind));
    EXPECT_EQ(Wanted, Actual) << Name;
    if (Actual != "done") {
      this->expectCounts(Step, Result);
      return;
    }
    const StatementAnswer &Answer = Result.Answer->value();
    if (Step.has("rows")) {
      EXPECT_EQ(Step.texts("rows"), Answer.Rows) << Name;
    }
    if (Step.has("role")) {
      EXPECT_EQ(Step.text("role"), toString(Answer.ServedBy)) << Name;
    }
    if (Step.has("repeated")) {
      EXPECT_EQ(Step.flag("repeated"), Answer.Repeated) << Name;
    }
    this->expectCounts(Step, Result);
  }

  void expectCounts(YamlReader &Step, const HarnessResult &Result) {
    if (Step.has("attempts")) {
      EXPECT_EQ(Step.number("attempts", {}),
                static_cast<std::int64_t>(Result.Attempts));
    }
    if (Step.has("served_by")) {
      EXPECT_EQ(Step.text("served_by"), Result.ServedBy.Value);
    }
    if (Step.has("within")) {
      EXPECT_LE((Result.EndedAt - Result.BegunAt).count(),
                Step.duration("within", {}).count());
    }
  }

  void expectValue(YamlReader &Step) {
    UpstreamId Member{Step.text("member")};
    std::string Key = Step.text("key");
    EXPECT_EQ(Step.text("value"), this->Harness.valueAt(Member, Key)) << Key;
  }

  void promote(YamlReader &Step) {
    std::set<UpstreamId> Unreached;
    for (const std::string &Each : Step.texts("unreached"))
      Unreached.insert(UpstreamId{Each});
    this->Harness.promote(UpstreamId{Step.text("member")}, Unreached);
  }

  TransactionCall readCall(YamlReader &Step) {
    TransactionCall Call;
    Call.Name = Step.text("name");
    Call.Instance = Step.text("instance");
    Call.Connection = Step.text("connection");
    Call.Session = Step.text("session", "");
    Call.Account = Step.text("account", "account");
    Call.Transaction = Step.text("transaction", "");
    Call.Request.Statement = Step.text("text", "");
    Call.Request.Write = Step.flag("write", false);
    if (Step.has("key"))
      Call.Request.Key = IdempotencyKey{Step.text("key")};
    Call.Request.Timeout =
        Step.duration("timeout", {}, std::chrono::seconds(2));
    return Call;
  }

  void expectCall(YamlReader &Step) {
    std::string Name = Step.text("name");
    std::string Wanted = Step.text("outcome", "done");
    EXPECT_EQ(Wanted, this->Transactions.outcome(Name)) << Name;
    bool Done = this->Transactions.outcome(Name) == "done";
    if (Step.has("rows")) {
      std::vector<std::string> Rows = Step.texts("rows");
      if (Done) {
        EXPECT_EQ(Rows, this->Transactions.answer(Name).Rows) << Name;
      }
    }
    if (Step.has("repeated")) {
      bool Repeated = Step.flag("repeated");
      if (Done) {
        EXPECT_EQ(Repeated, this->Transactions.answer(Name).Repeated) << Name;
      }
    }
  }

  StepHandlers transactionHandlers() {
    TransactionHarness &T = this->Transactions;
    return {
        {"begin", [&](YamlReader &Step) { T.begin(this->readCall(Step)); }},
        {"execute", [&](YamlReader &Step) { T.execute(this->readCall(Step)); }},
        {"commit", [&](YamlReader &Step) { T.commit(this->readCall(Step)); }},
        {"rollback",
         [&](YamlReader &Step) { T.rollback(this->readCall(Step)); }},
        {"close_connection",
         [&](YamlReader &Step) {
           std::string Instance = Step.text("instance");
           T.drop(Instance, Step.text("connection"));
         }},
        {"kill", [&](YamlReader &Step) { T.kill(Step.text("instance")); }},
        {"expect_call", [&](YamlReader &Step) { this->expectCall(Step); }},
        {"expect_connections",
         [&](YamlReader &Step) {
           UpstreamId Member{Step.text("member")};
           EXPECT_EQ(Step.number("count", {}),
                     static_cast<std::int64_t>(
                         this->Harness.member(Member).connections()));
         }},
    };
  }

  StepHandlers handlers() {
    RequestHarness &H = this->Harness;
    auto Id = [](YamlReader &Step) { return UpstreamId{Step.text("member")}; };
    return {
        {"start", [&](YamlReader &Step) { this->addMembers(Step); }},
        {"statement", [&](YamlReader &Step) { this->runStatement(Step); }},
        {"expect", [&](YamlReader &Step) { this->expectResult(Step); }},
        {"expect_value", [&](YamlReader &Step) { this->expectValue(Step); }},
        {"promote", [&](YamlReader &Step) { this->promote(Step); }},
        {"stuck",
         [&, Id](YamlReader &Step) {
           H.setStuck(Id(Step), Step.flag("on", true));
         }},
        {"lag",
         [&, Id](YamlReader &Step) {
           H.setLag(Id(Step), Step.duration("lag", {}));
         }},
        {"cut_replication",
         [&, Id](YamlReader &Step) {
           H.setReplicationCut(Id(Step), Step.flag("on", true));
         }},
        {"cut_link",
         [&, Id](YamlReader &Step) {
           H.setLinkCut(Step.text("instance"), Id(Step), Step.flag("on", true));
         }},
        {"lose_answer",
         [&, Id](YamlReader &Step) { H.loseNextAnswer(Id(Step)); }},
        {"mislabel_answer",
         [&, Id](YamlReader &Step) { H.mislabelNextAnswer(Id(Step)); }},
    };
  }

  EventQueue Queue;
  RequestHarness Harness{this->Queue};
  TransactionHarness Transactions{this->Harness};
};

TEST_P(RequestScenario, Runs) {
  StepHandlers All = this->handlers();
  All.merge(this->transactionHandlers());
  runScenario(this->GetParam(), this->Queue, All);
}

INSTANTIATE_TEST_SUITE_P(Requests, RequestScenario,
                         ::testing::ValuesIn(scenarioFiles("requests")),
                         [](const auto &Info) {
                           return scenarioName(Info.param);
                         });

} // namespace

} // namespace turmericpitch
