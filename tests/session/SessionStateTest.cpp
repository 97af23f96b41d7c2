#include "session/SessionState.h"
#include "session/ConnectionState.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

Statement makeStatement(StatementKind Kind, std::string Name = "",
                        std::string Operand = "") {
  return {.Kind = Kind,
          .Id = "1",
          .Text = "",
          .Name = std::move(Name),
          .Operand = std::move(Operand)};
}

Statement makePrepare(std::string Name, std::string Text, bool Writes) {
  Statement Result =
      makeStatement(StatementKind::Prepare, std::move(Name), std::move(Text));
  Result.PreparedWrites = Writes;
  return Result;
}

std::optional<ReplyError> errorOf(const std::optional<StatementReply> &Reply) {
  if (!Reply || !Reply->Failure)
    return std::nullopt;
  return Reply->Failure->Code;
}

TEST(SessionState, AnswersStatementsThatNeedNoMember) {
  SessionState State;
  EXPECT_TRUE(
      State.answerLocally(makeStatement(StatementKind::SetValue, "x", "1")));
  EXPECT_EQ(State.values().at("x"), "1");
  EXPECT_TRUE(State.answerLocally(makePrepare("s", "q", true)));
  EXPECT_TRUE(State.isWrite(makeStatement(StatementKind::Execute, "s")));
  EXPECT_FALSE(State.answerLocally(makeStatement(StatementKind::Execute, "s")));
  EXPECT_FALSE(State.answerLocally(makeStatement(StatementKind::Read)));
}

TEST(SessionState, RejectsUnknownPreparedStatements) {
  SessionState State;
  EXPECT_EQ(
      errorOf(State.answerLocally(makeStatement(StatementKind::Execute, "s"))),
      ReplyError::StatementUnknown);
  EXPECT_EQ(errorOf(State.answerLocally(
                makeStatement(StatementKind::Deallocate, "s"))),
            ReplyError::StatementUnknown);
}

TEST(SessionState, BeginNeedsNoMember) {
  SessionState State;
  auto Reply = State.answerLocally(makeStatement(StatementKind::BeginRead));
  ASSERT_TRUE(Reply);
  EXPECT_EQ(Reply->Transaction, TransactionStatus::Open);
  EXPECT_EQ(State.transaction(), SessionTransaction::Opened);
  EXPECT_FALSE(State.mayWrite(makeStatement(StatementKind::Commit)));
  // No member has received the transaction, so none has to roll it back.
  EXPECT_EQ(
      State.answerLocally(makeStatement(StatementKind::Rollback))->Transaction,
      TransactionStatus::None);
}

TEST(SessionState, FailedTransactionAcceptsOnlyItsEnd) {
  SessionState State;
  State.answerLocally(makeStatement(StatementKind::Begin));
  State.onTransactionStarted();
  State.onTransactionFailed();
  auto Read = State.answerLocally(makeStatement(StatementKind::Read));
  EXPECT_EQ(errorOf(Read), ReplyError::Aborted);
  EXPECT_EQ(Read->Transaction, TransactionStatus::Failed);
  auto Commit = State.answerLocally(makeStatement(StatementKind::Commit));
  EXPECT_EQ(errorOf(Commit), ReplyError::Aborted);
  EXPECT_EQ(Commit->Transaction, TransactionStatus::None);
  EXPECT_FALSE(State.inTransaction());
}

TEST(SessionState, CommitWithoutTransactionIsMalformed) {
  SessionState State;
  EXPECT_EQ(errorOf(State.answerLocally(makeStatement(StatementKind::Commit))),
            ReplyError::Malformed);
}

TEST(SessionState, LastWriteNeverMovesBack) {
  SessionState State;
  const ServiceId Service{"ledger"};
  TermPosition Earlier{.WrittenIn = {1}, .Position = {5}};
  TermPosition Later{.WrittenIn = {1}, .Position = {9}};
  State.onWriteAcknowledged(Service, {.Epoch = 1, .Entry = Later});
  State.onWriteAcknowledged(Service, {.Epoch = 1, .Entry = Earlier});
  EXPECT_EQ(State.lastWrite(Service)->Entry, Later);
  State.onWriteAcknowledged(Service, {.Epoch = 2, .Entry = Earlier});
  EXPECT_EQ(State.lastWrite(Service)->Epoch, 2U);
}

// A position in one service hid all that the session wrote in another one.
TEST(SessionState, PositionsOfServicesAreKeptApart) {
  SessionState State;
  const ServiceId Former{"ledger"};
  const ServiceId Next{"archive"};
  EpochPosition High{.Epoch = 3, .Entry = {.WrittenIn = {3}, .Position = {9}}};
  EpochPosition Low{.Epoch = 1, .Entry = {.WrittenIn = {1}, .Position = {2}}};
  State.onWriteAcknowledged(Former, High);
  EXPECT_FALSE(State.lastWrite(Next));
  State.onWriteAcknowledged(Next, Low);
  EXPECT_EQ(State.lastWrite(Next), Low);
  EXPECT_EQ(State.lastWrite(Former), High);
}

TEST(ConnectionState, NewConnectionReceivesOnlyTheSessionState) {
  ConnectionState Connection;
  PreparedStatement Prepared{.Writes = true, .Text = "q"};
  auto Steps = Connection.setupSteps({{"x", "1"}}, &Prepared);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].Type, SessionSetupStep::Kind::SetValue);
  EXPECT_EQ(Steps[1].Type, SessionSetupStep::Kind::Prepare);
  for (const SessionSetupStep &Step : Steps)
    Connection.onStepCompleted(Step);
  EXPECT_TRUE(Connection.setupSteps({{"x", "1"}}, &Prepared).empty());
}

TEST(ConnectionState, ValuesOfAnotherSessionAreClearedFirst) {
  ConnectionState Connection;
  for (const SessionSetupStep &Step :
       Connection.setupSteps({{"x", "1"}}, nullptr))
    Connection.onStepCompleted(Step);
  auto Steps = Connection.setupSteps({{"y", "2"}}, nullptr);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].Type, SessionSetupStep::Kind::Clear);
  EXPECT_EQ(Steps[1].Name, "y");
}

TEST(ConnectionState, EqualStatementsShareAName) {
  PreparedStatement Read{.Writes = false, .Text = "q"};
  PreparedStatement Write{.Writes = true, .Text = "q"};
  EXPECT_EQ(memberNameOf(Read), memberNameOf(Read));
  EXPECT_NE(memberNameOf(Read), memberNameOf(Write));
}

// The name came from a table that kept the text of each statement until the
// process ended.
TEST(ConnectionState, NameDependsOnTheStatementAlone) {
  PreparedStatement Asked{.Writes = false, .Text = "q"};
  std::string Name = memberNameOf(Asked);
  for (int Index = 0; Index < 100; ++Index)
    EXPECT_NE(memberNameOf({.Writes = false, .Text = std::to_string(Index)}),
              Name);
  EXPECT_EQ(Name, "r8e35c2cd3bf6641bdb0e2050b76932cb");
}

TEST(ConnectionState, IsClearedAtThePreparedStatementLimit) {
  ConnectionState Connection;
  for (std::size_t Index = 0; Index < ConnectionState::MaxPrepared; ++Index) {
    PreparedStatement Each{.Writes = false, .Text = std::to_string(Index)};
    for (const SessionSetupStep &Step : Connection.setupSteps({}, &Each))
      Connection.onStepCompleted(Step);
  }
  PreparedStatement First{.Writes = false, .Text = "0"};
  auto Steps = Connection.setupSteps({}, &First);
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_EQ(Steps[0].Type, SessionSetupStep::Kind::Clear);
}

TEST(SessionState, ValuesAndPreparedStatementsAreBounded) {
  SessionState State({.Entries = 3, .ValueBytes = 10, .PreparedBytes = 20});
  auto Set = [&](const std::string &Name, const std::string &Value) {
    return errorOf(State.answerLocally(
        makeStatement(StatementKind::SetValue, Name, Value)));
  };
  auto Prepare = [&](const std::string &Name, const std::string &Text) {
    return errorOf(State.answerLocally(makePrepare(Name, Text, false)));
  };
  EXPECT_EQ(Set("x", "123456789"), std::nullopt);
  EXPECT_EQ(Set("y", ""), ReplyError::TooLarge);
  // A value that replaces another counts the difference.
  EXPECT_EQ(Set("x", "987654321"), std::nullopt);
  EXPECT_EQ(Set("x", "9876543210"), ReplyError::TooLarge);
  EXPECT_EQ(State.values().at("x"), "987654321");
  EXPECT_EQ(Prepare("s", "0123456789"), std::nullopt);
  EXPECT_EQ(Prepare("t", "0123456789"), ReplyError::TooLarge);
  EXPECT_EQ(State.prepared("t"), nullptr);
  EXPECT_EQ(Prepare("t", "01234567"), std::nullopt);
  EXPECT_EQ(Prepare("u", ""), ReplyError::TooLarge);
  EXPECT_EQ(Prepare("t", ""), std::nullopt);
  State.answerLocally(makeStatement(StatementKind::Deallocate, "s"));
  EXPECT_EQ(Prepare("u", "0123456789"), std::nullopt);
}

TEST(SessionState, BytesFollowEachChange) {
  SessionState State;
  std::size_t Empty = State.bytes();
  EXPECT_EQ(Empty, 0U);
  Statement Prepare = makePrepare("s", std::string(1000, 'q'), false);
  std::size_t Expected = State.bytesAfter(Prepare);
  EXPECT_GT(Expected, 1000U);
  State.answerLocally(Prepare);
  EXPECT_EQ(State.bytes(), Expected);
  State.answerLocally(Prepare);
  EXPECT_EQ(State.bytes(), Expected);
  State.answerLocally(makeStatement(StatementKind::Deallocate, "other"));
  EXPECT_EQ(State.bytes(), Expected);
  State.answerLocally(makeStatement(StatementKind::Deallocate, "s"));
  EXPECT_EQ(State.bytes(), Empty);
}

} // namespace
} // namespace turmericpitch
