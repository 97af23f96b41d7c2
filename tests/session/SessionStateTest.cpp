#include "session/SessionState.h"
#include "session/ConnectionState.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

Statement ask(StatementKind Kind, std::string Name = "",
              std::string Rest = "") {
  return {.Kind = Kind,
          .Id = "1",
          .Text = "",
          .Name = std::move(Name),
          .Operand = std::move(Rest)};
}

Statement prepare(std::string Name, std::string Text, bool Writes) {
  Statement Asked =
      ask(StatementKind::Prepare, std::move(Name), std::move(Text));
  Asked.PreparedWrites = Writes;
  return Asked;
}

std::optional<ReplyError> errorOf(const std::optional<StatementReply> &Reply) {
  if (!Reply || !Reply->Failure)
    return std::nullopt;
  return Reply->Failure->Code;
}

TEST(SessionState, AnswersWhatNeedsNoMember) {
  SessionState State;
  EXPECT_TRUE(State.answerLocally(ask(StatementKind::SetValue, "x", "1")));
  EXPECT_EQ(State.values().at("x"), "1");
  EXPECT_TRUE(State.answerLocally(prepare("s", "q", true)));
  EXPECT_TRUE(State.isWrite(ask(StatementKind::Execute, "s")));
  EXPECT_FALSE(State.answerLocally(ask(StatementKind::Execute, "s")));
  EXPECT_FALSE(State.answerLocally(ask(StatementKind::Read)));
}

TEST(SessionState, RefusesPreparedNamesItDoesNotKnow) {
  SessionState State;
  EXPECT_EQ(errorOf(State.answerLocally(ask(StatementKind::Execute, "s"))),
            ReplyError::StatementUnknown);
  EXPECT_EQ(errorOf(State.answerLocally(ask(StatementKind::Deallocate, "s"))),
            ReplyError::StatementUnknown);
}

TEST(SessionState, ATransactionOpensWithoutAMember) {
  SessionState State;
  auto Reply = State.answerLocally(ask(StatementKind::BeginRead));
  ASSERT_TRUE(Reply);
  EXPECT_EQ(Reply->Transaction, TransactionStatus::Open);
  EXPECT_EQ(State.transaction(), SessionTransaction::Opened);
  EXPECT_FALSE(State.mayWrite(ask(StatementKind::Commit)));
  // Nothing was sent, so nothing has to be rolled back.
  EXPECT_EQ(State.answerLocally(ask(StatementKind::Rollback))->Transaction,
            TransactionStatus::None);
}

TEST(SessionState, AFailedTransactionTakesItsEndAlone) {
  SessionState State;
  State.answerLocally(ask(StatementKind::Begin));
  State.onTransactionStarted();
  State.onTransactionFailed();
  auto Read = State.answerLocally(ask(StatementKind::Read));
  EXPECT_EQ(errorOf(Read), ReplyError::Aborted);
  EXPECT_EQ(Read->Transaction, TransactionStatus::Failed);
  auto Commit = State.answerLocally(ask(StatementKind::Commit));
  EXPECT_EQ(errorOf(Commit), ReplyError::Aborted);
  EXPECT_EQ(Commit->Transaction, TransactionStatus::None);
  EXPECT_FALSE(State.inTransaction());
}

TEST(SessionState, ACommitWithoutATransactionIsMalformed) {
  SessionState State;
  EXPECT_EQ(errorOf(State.answerLocally(ask(StatementKind::Commit))),
            ReplyError::Malformed);
}

TEST(SessionState, ItsOwnWritesNeverGoBack) {
  SessionState State;
  TermPosition Early{.WrittenIn = {1}, .Position = {5}};
  TermPosition Late{.WrittenIn = {1}, .Position = {9}};
  State.onWriteAcknowledged({.Epoch = 1, .Entry = Late});
  State.onWriteAcknowledged({.Epoch = 1, .Entry = Early});
  EXPECT_EQ(State.lastWrite()->Entry, Late);
  State.onWriteAcknowledged({.Epoch = 2, .Entry = Early});
  EXPECT_EQ(State.lastWrite()->Epoch, 2U);
}

TEST(ConnectionState, AFreshConnectionGetsJustWhatTheSessionHolds) {
  ConnectionState Connection;
  PreparedStatementNames Names;
  PreparedStatement Prepared{.Writes = true, .Text = "q"};
  auto Steps = Connection.setupSteps({{"x", "1"}}, &Prepared, Names);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].Type, SessionSetupStep::Kind::SetValue);
  EXPECT_EQ(Steps[1].Type, SessionSetupStep::Kind::Prepare);
  for (const SessionSetupStep &Step : Steps)
    Connection.onStepCompleted(Step);
  EXPECT_TRUE(Connection.setupSteps({{"x", "1"}}, &Prepared, Names).empty());
}

TEST(ConnectionState, AnotherSessionsValuesAreClearedFirst) {
  ConnectionState Connection;
  PreparedStatementNames Names;
  for (const SessionSetupStep &Step :
       Connection.setupSteps({{"x", "1"}}, nullptr, Names))
    Connection.onStepCompleted(Step);
  auto Steps = Connection.setupSteps({{"y", "2"}}, nullptr, Names);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].Type, SessionSetupStep::Kind::Clear);
  EXPECT_EQ(Steps[1].Name, "y");
}

TEST(ConnectionState, EqualStatementsOfTwoSessionsShareAName) {
  PreparedStatementNames Names;
  PreparedStatement Read{.Writes = false, .Text = "q"};
  PreparedStatement Write{.Writes = true, .Text = "q"};
  EXPECT_EQ(Names.nameOf(Read), Names.nameOf(Read));
  EXPECT_NE(Names.nameOf(Read), Names.nameOf(Write));
}

TEST(ConnectionState, IsClearedBeforeItHoldsTooManyStatements) {
  ConnectionState Connection;
  PreparedStatementNames Names;
  for (std::size_t Index = 0; Index < ConnectionState::MaxPrepared; ++Index) {
    PreparedStatement Each{.Writes = false, .Text = std::to_string(Index)};
    for (const SessionSetupStep &Step : Connection.setupSteps({}, &Each, Names))
      Connection.onStepCompleted(Step);
  }
  PreparedStatement First{.Writes = false, .Text = "0"};
  auto Steps = Connection.setupSteps({}, &First, Names);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].Type, SessionSetupStep::Kind::Clear);
}

} // namespace
} // namespace turmericpitch
