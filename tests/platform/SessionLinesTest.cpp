#include "platform/SessionLines.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

Statement statement(std::string_view Line) {
  CallerLine Decoded = decodeCallerLine(Line);
  const auto *Asked = std::get_if<Statement>(&Decoded);
  EXPECT_NE(Asked, nullptr) << Line;
  return Asked ? *Asked : Statement{};
}

TEST(SessionLines, DecodesEachKindOfStatement) {
  EXPECT_EQ(statement("QUERY 1 BEGIN").Kind, StatementKind::Begin);
  EXPECT_EQ(statement("QUERY 1 BEGIN READ").Kind, StatementKind::BeginRead);
  EXPECT_EQ(statement("QUERY 1 COMMIT").Kind, StatementKind::Commit);
  EXPECT_EQ(statement("QUERY 1 ROLLBACK").Kind, StatementKind::Rollback);
  EXPECT_EQ(statement("QUERY 1 READ 1a4").Kind, StatementKind::Read);
  EXPECT_EQ(statement("QUERY 1 WRITE 1a4 x y").Kind, StatementKind::Write);
  Statement Set = statement("QUERY 1 SET name a value");
  EXPECT_EQ(Set.Kind, StatementKind::SetValue);
  EXPECT_EQ(Set.Name, "name");
  EXPECT_EQ(Set.Operand, "a value");
  Statement Prepare = statement("QUERY 1 PREPARE s1 WRITE q2c");
  EXPECT_EQ(Prepare.Kind, StatementKind::Prepare);
  EXPECT_TRUE(Prepare.PreparedWrites);
  EXPECT_EQ(Prepare.Operand, "q2c");
  EXPECT_EQ(statement("QUERY 1 DEALLOC s1").Kind, StatementKind::Deallocate);
}

TEST(SessionLines, InvalidStatementsAreUnknown) {
  for (const char *Line :
       {"QUERY 1 BEGIN WRITE", "QUERY 1 READ", "QUERY 1 PREPARE s MAYBE q",
        "QUERY 1 ", "QUERY 1 commit", "QUERY 1 AFTERLSN 1.2 READ x"})
    EXPECT_EQ(statement(Line).Kind, StatementKind::Unknown) << Line;
}

TEST(SessionLines, RefusesMalformedLines) {
  for (const char *Line : {"", "HELLO", "QUERY", "QUERY - READ x", "STARTUP"})
    EXPECT_TRUE(std::holds_alternative<MalformedLine>(decodeCallerLine(Line)))
        << Line;
  EXPECT_TRUE(std::holds_alternative<SessionTermination>(
      decodeCallerLine("TERMINATE")));
}

TEST(SessionLines, StartupHoldsTheCredentialsDigestOnly) {
  auto StartupOf = [](std::string_view Line) {
    return std::get<SessionStartup>(decodeCallerLine(Line));
  };
  EXPECT_EQ(StartupOf("STARTUP mide722x2 amqh8b74njne6ukw95rv"),
            (SessionStartup{.Database = "mide722x2",
                            .Credential = PresentedCredential::from(
                                "amqh8b74njne6ukw95rv")}));
  for (std::string_view Line : {"STARTUP mide722x2", "STARTUP mide722x2 "})
    EXPECT_EQ(StartupOf(Line).Credential.Form, CredentialForm::Missing);
  EXPECT_EQ(StartupOf("STARTUP a tenant i-7f3a").Credential.Form,
            CredentialForm::Malformed);
}

TEST(SessionLines, EncodesTheRefusalOfAnUnknownCredential) {
  EXPECT_EQ(encodeSessionRefused({.Code = ReplyError::Unauthenticated,
                                  .UpstreamCode = {},
                                  .Text = "why"})
                .bytes(),
            "ERROR UNAUTH why\r\n");
}

TEST(SessionLines, StatementIsForwardedUnchanged) {
  Statement Asked = statement("QUERY 5c0e WRITE 1a4  two  blanks ");
  EXPECT_EQ(encodeForMember(Asked, std::nullopt, std::nullopt).value().bytes(),
            "QUERY 5c0e WRITE 1a4  two  blanks \r\n");
  TermPosition At{.WrittenIn = {3}, .Position = {1207}};
  EXPECT_EQ(encodeForMember(statement("QUERY 1 READ 1a4"), std::nullopt, At)
                .value()
                .bytes(),
            "QUERY 1 AFTERLSN 3.1207 READ 1a4\r\n");
  EXPECT_EQ(encodeForMember(statement("QUERY 1 EXECUTE s1 1a4 data"), "p7", At)
                .value()
                .bytes(),
            "QUERY 1 AFTERLSN 3.1207 EXECUTE p7 1a4 data\r\n");
}

// A line feed in a statement's data started a second statement at the member
// (review, case 1).
TEST(SessionLines, NoFieldStartsASecondStatement) {
  for (std::string_view Odd :
       {std::string_view("\n"), std::string_view("\r"),
        std::string_view("\r\nQUERY 2 WRITE y z"),
        std::string_view("\nQUERY 2 WRITE y z"), std::string_view("\0", 1)}) {
    std::string Text(Odd);
    for (const std::string &Line :
         {"QUERY 1 WRITE x" + Text, "QUERY 1 WRITE " + Text + " x",
          "QUERY 1" + Text + " WRITE x y", "QUERY 1 SET a" + Text + " b",
          "QUERY 1 PREPARE s WRITE q" + Text, "STARTUP a" + Text + " key",
          "STARTUP a key" + Text})
      EXPECT_TRUE(std::holds_alternative<MalformedLine>(decodeCallerLine(Line)))
          << Line;
    Statement Asked{.Kind = StatementKind::Write,
                    .Id = "1",
                    .Text = "WRITE x " + Text,
                    .Name = {},
                    .Operand = "x" + Text};
    auto Refused = encodeForMember(Asked, std::nullopt, std::nullopt);
    ASSERT_FALSE(Refused);
    EXPECT_TRUE(Refused.error().Message.starts_with("the text holds a "));
    EXPECT_FALSE(encodeForMember(Asked, "p1", std::nullopt));
    EXPECT_FALSE(encodeMemberStartup({"s" + Text}, {}, {"m"}));
    EXPECT_FALSE(encodeMemberStartup({"s"}, {"a" + Text}, {"m"}));
    StatementReply Reply;
    Reply.Rows = {"row" + Text};
    EXPECT_FALSE(encodeReply(Reply));
    EXPECT_FALSE(toOutcome(
        [&] { return MemberReplyReader().feed("DATAROW a" + Text); }));
  }
  // The session goes on with one message, whose text arrives as it was sent.
  Statement Bytes = statement("QUERY 1 WRITE x \xff\x01\t\x7f");
  EXPECT_EQ(encodeForMember(Bytes, std::nullopt, std::nullopt).value().bytes(),
            "QUERY 1 WRITE x \xff\x01\t\x7f\r\n");
}

TEST(SessionLines, MessagesAtTheLimitFitWithWhatIsAdded) {
  TermPosition At{.WrittenIn = {UINT64_MAX}, .Position = {UINT64_MAX}};
  std::string Begin = "QUERY 1 WRITE x ";
  std::string Longest =
      Begin + std::string(MaxLineBytes - 128 - Begin.size(), 'd');
  EXPECT_TRUE(encodeForMember(statement(Longest), std::nullopt, At));
  CallerLine TooLong = decodeCallerLine(Longest + "d");
  ASSERT_TRUE(std::holds_alternative<MalformedLine>(TooLong));
  EXPECT_EQ(std::get<MalformedLine>(TooLong).Code, ReplyError::TooLarge);
}

TEST(SessionLines, StartupNamesTheAccountToTheMember) {
  ServiceId Service{"ledger"};
  UpstreamId Member{"i-7f3a91c2"};
  EXPECT_EQ(encodeMemberStartup(Service, ClientAccountId{"sabarmati"}, Member)
                .value()
                .bytes(),
            "STARTUP ledger sabarmati i-7f3a91c2\r\n");
  EXPECT_EQ(
      encodeMemberStartup(Service, ClientAccountId{}, Member).value().bytes(),
      "STARTUP ledger turmericpitch i-7f3a91c2\r\n");
}

TEST(SessionLines, AssemblesAReplyFromItsLines) {
  MemberReplyReader Reader;
  auto Feed = [&](std::string_view Line) {
    return toOutcome([&] { return Reader.feed(Line); });
  };
  EXPECT_FALSE(Feed("DATAROW qhz").value());
  EXPECT_FALSE(Feed("COMPLETE 7.1f3").value());
  auto Whole = Feed("READY I 3.1209");
  ASSERT_TRUE(Whole && Whole.value());
  const StatementReply &Reply = *Whole.value();
  EXPECT_EQ(Reply.Rows, std::vector<std::string>{"qhz"});
  EXPECT_EQ(Reply.Signature, "7.1f3");
  EXPECT_EQ(Reply.Position->Position.Value, 1209U);
  EXPECT_EQ(encodeReply(Reply).value().bytes(),
            "DATAROW qhz\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n");
}

TEST(SessionLines, ErrorKeepsItsCodeAndText) {
  MemberReplyReader Reader;
  auto Ignored =
      toOutcome([&] { return Reader.feed("ERROR READONLY i-7f3a91c2"); });
  EXPECT_TRUE(Ignored);
  auto Whole = toOutcome([&] { return Reader.feed("READY E 3.1209"); });
  ASSERT_TRUE(Whole && Whole.value());
  EXPECT_EQ(Whole.value()->Failure->Code, ReplyError::ReadOnly);
  EXPECT_EQ(Whole.value()->Transaction, TransactionStatus::Failed);
  EXPECT_EQ(encodeReply(*Whole.value()).value().bytes(),
            "ERROR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n");
}

TEST(SessionLines, RefusesLinesOutOfOrder) {
  for (const char *Second : {"COMPLETE b", "DATAROW c", "NONSENSE"}) {
    MemberReplyReader Reader;
    auto First = toOutcome([&] { return Reader.feed("COMPLETE a"); });
    EXPECT_TRUE(First);
    EXPECT_FALSE(toOutcome([&] { return Reader.feed(Second); })) << Second;
  }
  MemberReplyReader Reader;
  EXPECT_FALSE(toOutcome([&] { return Reader.feed("READY X -"); }));
}

TEST(SessionLines, StepDownContainsTheNewestTerm) {
  EXPECT_EQ(encodeStepDown({7}).bytes(), "QUERY - STEPDOWN 7\r\n");
}

TEST(SessionLines, DecodesAMemberReport) {
  StatementReply Reply;
  Reply.Rows = {"replica 3 2.1209 0 12 2 17"};
  auto Report = toOutcome([&] { return decodeMemberReport(Reply); });
  ASSERT_TRUE(Report);
  EXPECT_FALSE(Report.value().Primary);
  EXPECT_EQ(Report.value().Newest.Value, 3U);
  EXPECT_EQ(Report.value().Received.WrittenIn.Value, 2U);
  EXPECT_EQ(Report.value().ApplyDelay, std::chrono::milliseconds(12));
  EXPECT_EQ(Report.value().StatementCount, 2U);
  Reply.Rows = {"replica 3 2.1209 0 12.5 2 17"};
  Report = toOutcome([&] { return decodeMemberReport(Reply); });
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report.value().ApplyDelay, std::chrono::microseconds(12'500));
  Reply.Rows = {"replica 3 2.1209 0 -1 2 17"};
  EXPECT_FALSE(toOutcome([&] { return decodeMemberReport(Reply); }));
  Reply.Rows = {"leader 3 2.1209 0 12 2 17"};
  EXPECT_FALSE(toOutcome([&] { return decodeMemberReport(Reply); }));
  Reply.Rows = {"replica 3 2.1209 0 soon 2 17"};
  EXPECT_FALSE(toOutcome([&] { return decodeMemberReport(Reply); }));
  EXPECT_FALSE(toOutcome([&] { return decodeMemberReport({}); }));
}

// A member's reply was kept whatever its size.
TEST(SessionLines, RepliesOfMembersAreBounded) {
  for (const std::string &Row : {std::string(100'000, 'r'), std::string()}) {
    MemberReplyReader Reader;
    std::size_t Rows = 0;
    auto FeedRow = [&] {
      return static_cast<bool>(
          toOutcome([&] { return Reader.feed("DATAROW " + Row); }));
    };
    while (Rows < 1'000'000 && FeedRow())
      ++Rows;
    EXPECT_LE(Rows * (Row.size() + MemberReplyReader::RowOverhead),
              MemberReplyReader::MaxReplyBytes);
    EXPECT_GE(Rows, 41U);
  }
  // The bound holds for each reply.
  MemberReplyReader Reader;
  for (int Reply = 0; Reply < 60; ++Reply)
    for (const std::string &Line :
         {"DATAROW " + std::string(100'000, 'r'), std::string("COMPLETE c"),
          std::string("READY I -")})
      ASSERT_TRUE(toOutcome([&] { return Reader.feed(Line); })) << Reply;
}

} // namespace
} // namespace turmericpitch
