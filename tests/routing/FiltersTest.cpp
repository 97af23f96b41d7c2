#include "routing/Filters.h"
#include "core/Digest.h"

#include <gtest/gtest.h>

namespace turmericpitch {

namespace {

/// A snapshot with two client accounts of one brand and one service.
SharedConfiguration twoAccounts() {
  Brand Kaveri{.Id = BrandId{"kaveri"}, .Host = "db.example"};
  DatabaseService Desk{.Id = ServiceId{"desk"},
                       .Owner = Kaveri.Id,
                       .Databases = {DatabaseId{"orders"}}};
  Database Orders;
  Orders.Id = DatabaseId{"orders"};
  DatabaseMember Primary;
  Primary.Id = UpstreamId{"m1"};
  Primary.Where = {.Address = "127.0.0.1", .Port = 7201};
  Primary.Zone = ZoneId{"vatva"};
  Orders.Members.push_back(Primary);
  std::map<ObjectKey, ObjectRecord> Records;
  auto Put = [&](ObjectKind Kind, const std::string &Name,
                 const std::string &Json) {
    Records[ObjectKey{.Kind = Kind, .Id = Name}] = {.SetBy = TicketNumber{1},
                                                    .Json = Json};
  };
  Put(ObjectKind::Brand, "kaveri", toJson(Kaveri));
  Put(ObjectKind::DatabaseService, "desk", toJson(Desk));
  Put(ObjectKind::Database, "orders", toJson(Orders));
  for (const char *Name : {"one", "two"}) {
    ClientAccount Account;
    Account.Id = ClientAccountId{Name};
    Account.Owner = Kaveri.Id;
    Account.CredentialDigest = sha256Hex(Name);
    Account.Services = {Desk.Id};
    Put(ObjectKind::ClientAccount, Name, toJson(Account));
  }
  auto Built = toOutcome([&] {
    return ConfigurationSnapshot::build(Revision{1}, TicketNumber{1}, Records);
  });
  if (!Built)
    throw std::runtime_error(Built.error().Message);
  return std::make_shared<ConfigurationSnapshot>(std::move(Built.value()));
}

RequestContext makeContext(const std::string &Credential) {
  RequestContext Context;
  Context.Configuration = twoAccounts();
  Context.Request.Host = "db.example";
  Context.Request.Credential = Credential;
  Context.Request.Service = ServiceId{"desk"};
  Context.Request.Target = DatabaseId{"orders"};
  Context.Request.Key = IdempotencyKey{"k-1"};
  return Context;
}

TEST(AccountFilterTest, SameKeyOfTwoAccountsDoesNotCollide) {
  RequestContext One = makeContext("one");
  RequestContext Two = makeContext("two");
  ASSERT_TRUE(AccountFilter{}.apply(One));
  ASSERT_TRUE(AccountFilter{}.apply(Two));
  ASSERT_TRUE(One.Request.Key && Two.Request.Key);
  EXPECT_NE(*One.Request.Key, *Two.Request.Key);
  RequestContext Again = makeContext("one");
  ASSERT_TRUE(AccountFilter{}.apply(Again));
  EXPECT_EQ(*One.Request.Key, *Again.Request.Key);
}

} // namespace

} // namespace turmericpitch
