#include "drivers/MemberCodec.h"

#include <gtest/gtest.h>

namespace turmericpitch {

namespace {

const RequestId OwnId{"a-1-7"};
const RequestId OtherId{"a-1-6"};

Error notRunError() {
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

TEST(MemberReply, AnswerWithExpectedIdIsAccepted) {
  bool Reusable = false;
  auto Reply = decodeMemberReply(OwnId, true, answerTo(OwnId), Reusable);
  ASSERT_TRUE(Reply);
  EXPECT_TRUE(Reusable);
  EXPECT_EQ(Reply.value().Rows, std::vector<std::string>{"row"});
}

TEST(MemberReply, ErrorWithExpectedIdIsAccepted) {
  bool Reusable = false;
  auto Reply = decodeMemberReply(
      OwnId, false, encodeMemberError(notRunError(), OwnId), Reusable);
  ASSERT_FALSE(Reply);
  EXPECT_TRUE(Reusable);
  EXPECT_EQ(Reply.error(), notRunError());
}

/// A reply that can't be attributed to the request with OwnId.
struct MismatchedReply {
  std::string Name;
  bool Success;
  std::string Body;
};

class MismatchedMemberReply : public ::testing::TestWithParam<MismatchedReply> {
};

TEST_P(MismatchedMemberReply, IsOutcomeUnknownAndConnectionIsNotReused) {
  bool Reusable = true;
  auto Reply = decodeMemberReply(OwnId, this->GetParam().Success,
                                 this->GetParam().Body, Reusable);
  ASSERT_FALSE(Reply);
  EXPECT_EQ(Reply.error().Kind, ErrorKind::OutcomeUnknown);
  EXPECT_FALSE(Reusable);
}

INSTANTIATE_TEST_SUITE_P(
    Each, MismatchedMemberReply,
    ::testing::Values(
        MismatchedReply{"AnswerWithOtherId", true, answerTo(OtherId)},
        MismatchedReply{"AnswerWithoutId", true, answerTo(RequestId{})},
        MismatchedReply{"TruncatedAnswer", true, answerTo(OwnId).substr(0, 20)},
        MismatchedReply{"ErrorWithOtherId", false,
                        encodeMemberError(notRunError(), OtherId)},
        MismatchedReply{"ErrorWithoutId", false, encodeError(notRunError())},
        MismatchedReply{"TruncatedError", false,
                        encodeMemberError(notRunError(), OwnId).substr(0, 20)}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace

} // namespace turmericpitch
