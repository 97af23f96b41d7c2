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
          .Rest = std::move(Rest)};
}

Statement prepare(std::string Name, std::string Shape, bool Writes) {
  Statement Asked =
      ask(StatementKind::Prepare, std::move(Name), std::move(Shape));
  Asked.PreparesWrite = Writes;
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
  EXPECT_EQ(Reply->Mark, TransactionMark::Open);
  EXPECT_EQ(State.transaction(), SessionTransaction::Opened);
  EXPECT_FALSE(State.mayWrite(ask(StatementKind::Commit)));
  // Nothing was sent, so nothing has to be rolled back.
  EXPECT_EQ(State.answerLocally(ask(StatementKind::Rollback))->Mark,
            TransactionMark::None);
}

TEST(SessionState, AFailedTransactionTakesItsEndAlone) {
  SessionState State;
  State.answerLocally(ask(StatementKind::Begin));
  State.onTransactionStarted();
  State.onTransactionFailed();
  auto Read = State.answerLocally(ask(StatementKind::Read));
  EXPECT_EQ(errorOf(Read), ReplyError::Aborted);
  EXPECT_EQ(Read->Mark, TransactionMark::Failed);
  auto Commit = State.answerLocally(ask(StatementKind::Commit));
  EXPECT_EQ(errorOf(Commit), ReplyError::Aborted);
  EXPECT_EQ(Commit->Mark, TransactionMark::None);
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
  State.onWritten({.Epoch = 1, .Entry = Late});
  State.onWritten({.Epoch = 1, .Entry = Early});
  EXPECT_EQ(State.written()->Entry, Late);
  State.onWritten({.Epoch = 2, .Entry = Early});
  EXPECT_EQ(State.written()->Epoch, 2U);
}

TEST(ConnectionState, AFreshConnectionGetsJustWhatTheSessionHolds) {
  ConnectionState Connection;
  PreparedNames Names;
  PreparedStatement Prepared{.Writes = true, .Shape = "q"};
  auto Steps = Connection.stepsFor({{"x", "1"}}, &Prepared, Names);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].What, FittingStep::Kind::SetValue);
  EXPECT_EQ(Steps[1].What, FittingStep::Kind::Prepare);
  for (const FittingStep &Step : Steps)
    Connection.onStepDone(Step);
  EXPECT_TRUE(Connection.stepsFor({{"x", "1"}}, &Prepared, Names).empty());
}

TEST(ConnectionState, AnotherSessionsValuesAreClearedFirst) {
  ConnectionState Connection;
  PreparedNames Names;
  for (const FittingStep &Step :
       Connection.stepsFor({{"x", "1"}}, nullptr, Names))
    Connection.onStepDone(Step);
  auto Steps = Connection.stepsFor({{"y", "2"}}, nullptr, Names);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].What, FittingStep::Kind::Clear);
  EXPECT_EQ(Steps[1].Name, "y");
}

TEST(ConnectionState, EqualStatementsOfTwoSessionsShareAName) {
  PreparedNames Names;
  PreparedStatement Read{.Writes = false, .Shape = "q"};
  PreparedStatement Write{.Writes = true, .Shape = "q"};
  EXPECT_EQ(Names.nameOf(Read), Names.nameOf(Read));
  EXPECT_NE(Names.nameOf(Read), Names.nameOf(Write));
}

TEST(ConnectionState, IsClearedBeforeItHoldsTooManyStatements) {
  ConnectionState Connection;
  PreparedNames Names;
  for (std::size_t Index = 0; Index < ConnectionState::MostPrepared; ++Index) {
    PreparedStatement Each{.Writes = false, .Shape = std::to_string(Index)};
    for (const FittingStep &Step : Connection.stepsFor({}, &Each, Names))
      Connection.onStepDone(Step);
  }
  PreparedStatement First{.Writes = false, .Shape = "0"};
  auto Steps = Connection.stepsFor({}, &First, Names);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].What, FittingStep::Kind::Clear);
}

} // namespace
} // namespace turmericpitch
