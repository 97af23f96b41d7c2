#include "configuration/AccountDirectory.h"

#include <algorithm>

namespace turmericpitch {

std::string_view toString(AccountRefusal Refusal) {
  switch (Refusal) {
  case AccountRefusal::CredentialMissing:
    return "credential_missing";
  case AccountRefusal::CredentialMalformed:
    return "credential_malformed";
  case AccountRefusal::CredentialUnknown:
    return "credential_unknown";
  case AccountRefusal::CredentialAmbiguous:
    return "credential_ambiguous";
  case AccountRefusal::AccountChanged:
    break;
  }
  return "account_changed";
}

AccountDirectory::AccountDirectory(std::vector<AccountRule> Accounts)
    : Required(true), Accounts(std::move(Accounts)) {
  for (std::size_t Index = 0; Index < this->Accounts.size(); ++Index)
    for (const CredentialDigest &Each : this->Accounts[Index].Credentials) {
      auto [At, Inserted] = this->Holders.try_emplace(Each, Holder{Index});
      if (!Inserted && At->second.Index != Index)
        At->second.Ambiguous = true;
    }
}

AccountDecision
AccountDirectory::decide(RouteAccess Access,
                         const PresentedCredential &Caller) const {
  if (!this->Required || Access == RouteAccess::Public)
    return {};
  if (Caller.Form == CredentialForm::Missing)
    return {.Refusal = AccountRefusal::CredentialMissing};
  if (Caller.Form == CredentialForm::Malformed)
    return {.Refusal = AccountRefusal::CredentialMalformed};
  auto Found = this->Holders.find(Caller.Digest);
  if (Found == this->Holders.end())
    return {.Refusal = AccountRefusal::CredentialUnknown};
  if (Found->second.Ambiguous)
    return {.Refusal = AccountRefusal::CredentialAmbiguous};
  return {.Account = this->Accounts[Found->second.Index].Id};
}

std::optional<AccountRefusal>
AccountDirectory::recheck(RouteAccess Access, const PresentedCredential &Caller,
                          const ClientAccountId &Account) const {
  // A session keeps its account on a route that has become public, as its
  // links and limits belong to that account.
  if (Access == RouteAccess::Public && !Account.Value.empty())
    Access = RouteAccess::Authenticated;
  AccountDecision Now = this->decide(Access, Caller);
  if (Now.Refusal)
    return Now.Refusal;
  if (Now.Account != Account)
    return AccountRefusal::AccountChanged;
  return std::nullopt;
}

const AccountRule *AccountDirectory::account(const ClientAccountId &Id) const {
  auto Found = std::ranges::find(this->Accounts, Id, &AccountRule::Id);
  return Found == this->Accounts.end() ? nullptr : &*Found;
}

} // namespace turmericpitch
