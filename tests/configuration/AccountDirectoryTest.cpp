#include "configuration/AccountDirectory.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

AccountRule account(const std::string &Name,
                    const std::vector<std::string> &Credentials) {
  AccountRule Rule;
  Rule.Id = {Name};
  for (const std::string &Each : Credentials)
    Rule.Credentials.push_back(CredentialDigest::of(Each));
  return Rule;
}

AccountDecision decide(const AccountDirectory &Directory,
                       std::string_view Credential,
                       RouteAccess Access = RouteAccess::Authenticated) {
  return Directory.decide(Access, PresentedCredential::from(Credential));
}

std::optional<AccountRefusal>
recheck(const AccountDirectory &Directory, std::string_view Credential,
        const std::string &Account,
        RouteAccess Access = RouteAccess::Authenticated) {
  return Directory.recheck(Access, PresentedCredential::from(Credential),
                           {Account});
}

TEST(PresentedCredential, TellsWhatCanBeACredential) {
  auto FormOf = [](std::string_view Text) {
    return PresentedCredential::from(Text).Form;
  };
  EXPECT_EQ(FormOf(""), CredentialForm::Missing);
  EXPECT_EQ(FormOf("amqh8b74njne6ukw95rv"), CredentialForm::WellFormed);
  EXPECT_EQ(FormOf(std::string(PresentedCredential::MaxBytes, 'k')),
            CredentialForm::WellFormed);
  EXPECT_EQ(FormOf(std::string(PresentedCredential::MaxBytes + 1, 'k')),
            CredentialForm::Malformed);
  for (std::string_view Text : {"two words", " leading", "tab\t", "k\xc3\xa9y",
                                "bell\a", "\x7f", "\xff\xfe"})
    EXPECT_EQ(FormOf(Text), CredentialForm::Malformed) << Text;
  EXPECT_EQ(FormOf(std::string_view("nul\0", 4)), CredentialForm::Malformed);
}

TEST(CredentialDigest, EqualForEqualCredentialsOnly) {
  EXPECT_EQ(CredentialDigest::of("one"), CredentialDigest::of("one"));
  EXPECT_NE(CredentialDigest::of("one"), CredentialDigest::of("onf"));
  EXPECT_NE(CredentialDigest::of(""), CredentialDigest());
}

TEST(AccountDirectory, FindsTheAccountOfACredential) {
  AccountDirectory Directory(
      {account("a", {"a1", "a2"}), account("b", {"b1"})});
  EXPECT_EQ(decide(Directory, "a2"), AccountDecision{.Account = {"a"}});
  EXPECT_EQ(decide(Directory, "b1"), AccountDecision{.Account = {"b"}});
  EXPECT_EQ(decide(Directory, "").Refusal, AccountRefusal::CredentialMissing);
  EXPECT_EQ(decide(Directory, "a 1").Refusal,
            AccountRefusal::CredentialMalformed);
  EXPECT_EQ(decide(Directory, "a").Refusal, AccountRefusal::CredentialUnknown);
  EXPECT_EQ(Directory.account({"b"})->Credentials.size(), 1U);
  EXPECT_EQ(Directory.account({"c"}), nullptr);
}

TEST(AccountDirectory, WithoutAccountsEveryCallerIsAdmitted) {
  for (std::string_view Credential : {"", "any", "two words"})
    EXPECT_EQ(decide({}, Credential), AccountDecision{});
  EXPECT_FALSE(AccountDirectory().required());
}

TEST(AccountDirectory, AnEmptyListOfAccountsAdmitsNobody) {
  AccountDirectory Directory(std::vector<AccountRule>{});
  EXPECT_TRUE(Directory.required());
  EXPECT_EQ(decide(Directory, "a1").Refusal, AccountRefusal::CredentialUnknown);
}

TEST(AccountDirectory, PublicRouteNeedsNoCredential) {
  AccountDirectory Directory({account("a", {"a1"})});
  for (std::string_view Credential : {"", "a1", "unknown", "two words"})
    EXPECT_EQ(decide(Directory, Credential, RouteAccess::Public),
              AccountDecision{});
}

TEST(AccountDirectory, CredentialOfTwoAccountsIsRefused) {
  AccountDirectory Directory(
      {account("a", {"own", "both"}), account("b", {"both", "other"})});
  EXPECT_EQ(decide(Directory, "both").Refusal,
            AccountRefusal::CredentialAmbiguous);
  EXPECT_EQ(decide(Directory, "own").Account.Value, "a");
  EXPECT_EQ(decide(Directory, "other").Account.Value, "b");
  // A repetition within one account is harmless.
  AccountDirectory Repeated({account("a", {"twice", "twice"})});
  EXPECT_EQ(decide(Repeated, "twice").Account.Value, "a");
}

TEST(AccountDirectory, SessionEndsOnceItsCredentialNoLongerNamesItsAccount) {
  EXPECT_FALSE(
      recheck(AccountDirectory({account("a", {"new", "k"})}), "k", "a"));
  EXPECT_EQ(recheck(AccountDirectory({account("a", {"new"})}), "k", "a"),
            AccountRefusal::CredentialUnknown);
  EXPECT_EQ(recheck(AccountDirectory({account("a", {})}), "k", "a"),
            AccountRefusal::CredentialUnknown);
  EXPECT_EQ(recheck(AccountDirectory({account("renamed", {"k"})}), "k", "a"),
            AccountRefusal::AccountChanged);
  EXPECT_EQ(
      recheck(AccountDirectory({account("a", {"k"}), account("b", {"k"})}), "k",
              "a"),
      AccountRefusal::CredentialAmbiguous);
}

TEST(AccountDirectory, ChangeOfTheRoutesAccess) {
  AccountDirectory Directory({account("a", {"k"})});
  // A session without an account stays only as long as none is needed.
  EXPECT_FALSE(recheck(Directory, "", "", RouteAccess::Public));
  EXPECT_EQ(recheck(Directory, "", ""), AccountRefusal::CredentialMissing);
  EXPECT_EQ(recheck(Directory, "k", ""), AccountRefusal::AccountChanged);
  // A session with an account keeps it on a public route.
  EXPECT_FALSE(recheck(Directory, "k", "a", RouteAccess::Public));
  EXPECT_EQ(recheck(Directory, "gone", "a", RouteAccess::Public),
            AccountRefusal::CredentialUnknown);
  // Accounts are introduced, or all configuration of them is removed.
  EXPECT_EQ(recheck(Directory, "other", ""), AccountRefusal::CredentialUnknown);
  EXPECT_EQ(recheck({}, "k", "a"), AccountRefusal::AccountChanged);
}

} // namespace
} // namespace turmericpitch
