// The exchange with one keeper.
#include "limits/KeeperContact.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(int Milliseconds) { return TimePoint(milliseconds(Milliseconds)); }

/// When probes are sent from time 0 on to a keeper that answers nothing more,
/// in milliseconds.
std::vector<int> probes(KeeperContact &Contact, int Until) {
  std::vector<int> Sent;
  for (int Time = 0; Time < Until; Time += 10) {
    if (!Contact.probeDue(at(Time)))
      continue;
    Contact.onSend(at(Time));
    Sent.push_back(Time);
  }
  return Sent;
}

/// A keeper that starts a little later than this instance drops the first
/// probe.
TEST(KeeperContact, AKeeperThatHasNotAnsweredYetIsSoonAskedAgain) {
  KeeperContact Contact({}, 0);
  EXPECT_FALSE(Contact.hasAnswered());
  EXPECT_EQ(probes(Contact, 4000),
            (std::vector<int>{0, 50, 150, 350, 750, 1550, 2550, 3550}));
}

TEST(KeeperContact, AKeeperThatHasAnsweredBeforeIsProbedOnceInAWhile) {
  KeeperContact Contact({}, 0);
  std::uint64_t Sequence = Contact.onSend(at(-100));
  ASSERT_TRUE(
      Contact.onReply({.RequestSequence = Sequence, .Stamp = {}}, at(-90)));
  EXPECT_TRUE(Contact.hasAnswered());
  EXPECT_EQ(probes(Contact, 3000), (std::vector<int>{900, 1900, 2900}));
}

} // namespace
} // namespace turmericpitch
