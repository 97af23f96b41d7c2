#include "drivers/MemberCodec.h"

#include <gtest/gtest.h>

namespace turmericpitch {

namespace {

const RequestId Mine{"a-1-7"};
const RequestId Others{"a-1-6"};

Error refusal() {
  return {.Kind = ErrorKind::NotRun,
          .Message = "conflict",
          .Remedy = "run it again"};
}

std::string answerTo(const RequestId &Id) {
  MemberAnswer Answer;
  Answer.Id = Id;
  Answer.Rows = {"row"};
  return encodeMemberAnswer(Answer);
}

TEST(MemberReply, OwnAnswerIsTaken) {
  bool Trusted = false;
  auto Reply = decodeMemberReply(Mine, true, answerTo(Mine), Trusted);
  ASSERT_TRUE(Reply);
  EXPECT_TRUE(Trusted);
  EXPECT_EQ(Reply.value().Rows, std::vector<std::string>{"row"});
}

TEST(MemberReply, OwnErrorIsTaken) {
  bool Trusted = false;
  auto Reply = decodeMemberReply(Mine, false,
                                 encodeMemberError(refusal(), Mine), Trusted);
  ASSERT_FALSE(Reply);
  EXPECT_TRUE(Trusted);
  EXPECT_EQ(Reply.error(), refusal());
}

/// A reply that does not prove to be this request's.
struct ForeignReply {
  std::string Name;
  bool Success;
  std::string Body;
};

class MemberReplyForeign : public ::testing::TestWithParam<ForeignReply> {};

TEST_P(MemberReplyForeign, IsOutcomeUnknownAndEndsTheConnection) {
  bool Trusted = true;
  auto Reply = decodeMemberReply(Mine, this->GetParam().Success,
                                 this->GetParam().Body, Trusted);
  ASSERT_FALSE(Reply);
  EXPECT_EQ(Reply.error().Kind, ErrorKind::OutcomeUnknown);
  EXPECT_FALSE(Trusted);
}

INSTANTIATE_TEST_SUITE_P(
    Each, MemberReplyForeign,
    ::testing::Values(
        ForeignReply{"LateAnswer", true, answerTo(Others)},
        ForeignReply{"AnswerWithoutId", true, answerTo(RequestId{})},
        ForeignReply{"TornAnswer", true, answerTo(Mine).substr(0, 20)},
        ForeignReply{"LateError", false, encodeMemberError(refusal(), Others)},
        ForeignReply{"ErrorWithoutId", false, encodeError(refusal())},
        ForeignReply{"TornError", false,
                     encodeMemberError(refusal(), Mine).substr(0, 20)}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace

} // namespace turmericpitch
