// Checks that a statement for which members have no capacity is answered
// immediately.
#include "routing/StatementFlow.h"

#include <gtest/gtest.h>
#include <set>

namespace turmericpitch {

namespace {

class ShedStatement : public ::testing::Test {
protected:
  ShedStatement() {
    this->Configured.Id = DatabaseId{"bookings"};
    for (const char *Name : {"a", "b", "c"})
      this->Configured.Members.push_back({.Id = UpstreamId{Name},
                                          .Where = {.Address = "127.0.0.1"},
                                          .Zone = ZoneId{"vatva"}});
    this->Upstreams.onConfigured(this->Configured);
    for (const DatabaseMember &Member : this->Configured.Members) {
      MemberStatus Status;
      Status.Id = Member.Id;
      Status.Role =
          Member.Id.Value == "a" ? MemberRole::Primary : MemberRole::Replica;
      Status.AcceptedTerm = Term{1};
      this->Upstreams.onStatus(this->Configured.Id, Status, this->Now);
    }
  }

  StatementFlow flow(bool Write) {
    RequestContext Context;
    Context.Request.Target = this->Configured.Id;
    Context.Request.Write = Write;
    Context.Request.Repeatable = true;
    Context.View = this->view();
    Context.Deadline = this->Now + std::chrono::seconds(5);
    return {Context, RoutingOptions{}, 1};
  }
  SharedDatabaseView view() {
    return this->Upstreams.view(this->Configured.Id);
  }

  const Error Shed{.Kind = ErrorKind::Overloaded,
                   .Message = "shed",
                   .Remedy = "retry later",
                   .RetryAfter = std::chrono::milliseconds(70)};
  Database Configured;
  UpstreamController Upstreams;
  TimePoint Now = TimePoint{} + std::chrono::seconds(100);
};

TEST_F(ShedStatement, WriteIsAnsweredWithRetryAfter) {
  StatementFlow Flow = this->flow(true);
  StatementAction Action = Flow.begin(this->Now);
  ASSERT_TRUE(std::holds_alternative<RunAtMember>(Action));
  Action = Flow.onMemberOutcome(this->Shed, this->view(), this->Now);
  auto *Finish = std::get_if<FinishStatement>(&Action);
  ASSERT_TRUE(Finish);
  EXPECT_EQ(Finish->Answer.error(), this->Shed);
}

TEST_F(ShedStatement, ReadTriesEachMemberOnceThenIsAnswered) {
  StatementFlow Flow = this->flow(false);
  StatementAction Action = Flow.begin(this->Now);
  std::set<UpstreamId> Tried;
  while (auto *Run = std::get_if<RunAtMember>(&Action)) {
    ASSERT_TRUE(Tried.insert(Run->Where.Target).second);
    Action = Flow.onMemberOutcome(this->Shed, this->view(), this->Now);
  }
  EXPECT_EQ(Tried.size(), 3U);
  auto *Finish = std::get_if<FinishStatement>(&Action);
  ASSERT_TRUE(Finish);
  EXPECT_EQ(Finish->Answer.error(), this->Shed);
}

TEST_F(ShedStatement, EarlierAttemptThatMayHaveRunKeepsOutcomeUnknown) {
  StatementFlow Flow = this->flow(true);
  Flow.begin(this->Now);
  Error Lost{.Kind = ErrorKind::OutcomeUnknown, .Message = "", .Remedy = ""};
  StatementAction Action = Flow.onMemberOutcome(Lost, this->view(), this->Now);
  ASSERT_TRUE(std::holds_alternative<AwaitView>(Action));
  Action = Flow.onView(this->view(), this->Now);
  ASSERT_TRUE(std::holds_alternative<RunAtMember>(Action));
  Action = Flow.onMemberOutcome(this->Shed, this->view(), this->Now);
  auto *Finish = std::get_if<FinishStatement>(&Action);
  ASSERT_TRUE(Finish);
  EXPECT_EQ(Finish->Answer.error().Kind, ErrorKind::OutcomeUnknown);
}

} // namespace

} // namespace turmericpitch
