#include "limits/OwnerTable.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

TEST(OwnerTable, SharesAreEqualAndAddUpToOne) {
  std::vector<InstanceId> Owners{{"a"}, {"b"}, {"c"}};
  EXPECT_DOUBLE_EQ(shareAmong(Owners, {"a"}) + shareAmong(Owners, {"b"}) +
                       shareAmong(Owners, {"c"}),
                   1);
  EXPECT_EQ(shareAmong(Owners, {"d"}), 0);
  EXPECT_EQ(shareAmong({}, {"a"}), 0);
}

TEST(OwnerTable, SurvivesEncoding) {
  OwnerTable Table{.Epoch = 3,
                   .Owners = {{"a"}, {"b"}},
                   .PreviousOwners = {{"a"}},
                   .WrittenIn = {2}};
  auto Decoded = toOutcome([&] {
    return decodeOwnerTable(
        {.Key = std::string(OwnerTableKey), .Value = encodeOwnerTable(Table)});
  });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Table);
}

TEST(OwnerTable, MalformedValuesAreRejected) {
  for (const char *Value :
       {"", "[]", "{}", R"({"epoch":0,"owners":[],"previous":[],"era":0})",
        R"({"epoch":1,"owners":[1],"previous":[],"era":0})",
        R"({"epoch":1,"owners":["b","a"],"previous":[],"era":0})",
        R"({"epoch":1,"owners":["a","a"],"previous":[],"era":0})",
        R"({"epoch":1,"owners":["a"],"previous":[]})",
        R"({"epoch":-1,"owners":["a"],"previous":[],"era":0})"})
    EXPECT_FALSE(toOutcome([&] {
      return decodeOwnerTable(
          {.Key = std::string(OwnerTableKey), .Value = Value});
    })) << Value;
}

} // namespace
} // namespace turmericpitch
