#include "routing/Router.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

/// A view with primary "a" and replicas "b" and "c", all caught up.
DatabaseView caughtUpView() {
  DatabaseView View;
  for (const char *Name : {"a", "b", "c"}) {
    MemberView Member;
    Member.Configured.Id = UpstreamId{Name};
    MemberStatus Status;
    Status.Id = UpstreamId{Name};
    Status.AcceptedTerm = Term{1};
    Status.Role =
        Status.Id.Value == "a" ? MemberRole::Primary : MemberRole::Replica;
    Status.History = TermHistory({{Term{1}, LogPosition{0}}});
    Member.Last = Status;
    View.Members.push_back(Member);
  }
  return View;
}

std::optional<Route> routeOfRead(const DatabaseView &View, std::uint64_t Seed) {
  RandomSource Random(Seed);
  auto Chosen = toOutcome([&] {
    return chooseForRead(View, ReadRequirements{}, RoutingOptions{},
                         TimePoint{}, Random);
  });
  return Chosen ? Chosen.value() : std::nullopt;
}

TEST(LeavingUpstream, GetsNoRead) {
  DatabaseView View = caughtUpView();
  View.Members[1].Configured.Leaving = true;
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed)
    EXPECT_EQ(routeOfRead(View, Seed)->Target, UpstreamId{"c"});
}

TEST(LeavingUpstream, GetsNoReadAsPrimary) {
  DatabaseView View = caughtUpView();
  View.Members[0].Configured.Leaving = true;
  View.Members[1].Last.reset();
  View.Members[2].Last.reset();
  EXPECT_FALSE(routeOfRead(View, 1).has_value());
}

TEST(SupersededPrimary, IsDetectedOnceAnotherIsPrimaryOfANewerTerm) {
  DatabaseView View = caughtUpView();
  EXPECT_FALSE(isSuperseded(View, UpstreamId{"a"}));
  // A fenced member does not show which member is the successor.
  View.Members[1].Last->AcceptedTerm = Term{2};
  EXPECT_FALSE(isSuperseded(View, UpstreamId{"a"}));
  View.Members[1].Last->Role = MemberRole::Primary;
  EXPECT_TRUE(isSuperseded(View, UpstreamId{"a"}));
  EXPECT_FALSE(isSuperseded(View, UpstreamId{"b"}));
}

} // namespace
} // namespace turmericpitch
