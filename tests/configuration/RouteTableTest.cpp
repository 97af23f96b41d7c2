#include "configuration/RouteTable.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

RouteRule route(const char *Service, Consistency Level, int MaximumAgeMs) {
  return {.Name = "r",
          .Database = "bookings",
          .Service = {Service},
          .Level = Level,
          .MaximumAge = milliseconds(MaximumAgeMs)};
}

TEST(RouteController, AcceptedAgesAreThoseOfTheServicesReads) {
  RouteTable Table;
  Table.Version = 1;
  Table.Routes["a"] = route("ledger", Consistency::BoundedStaleness, 1500);
  Table.Routes["b"] = route("ledger", Consistency::ReadYourWrites, 2500);
  Table.Routes["c"] = route("ledger", Consistency::Strong, 60'000);
  Table.Routes["d"] = route("other", Consistency::BoundedStaleness, 9000);
  RouteController Routes;
  EXPECT_FALSE(Routes.acceptedAges({"ledger"}));
  Routes.replaceIfNewer(std::move(Table));
  EXPECT_EQ(Routes.acceptedAges({"ledger"}),
            (AcceptedAges{.Strictest = milliseconds(1500),
                          .Loosest = milliseconds(2500)}));
  EXPECT_FALSE(Routes.acceptedAges({"unknown"}));
}

} // namespace
} // namespace turmericpitch
