// The configured client accounts: which account a credential belongs to.
#pragma once

#include "configuration/Credential.h"
#include "core/Identifiers.h"
#include "core/OperationLimit.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericpitch {

/// One client account of the active configuration. Immutable value.
struct AccountRule {
  ClientAccountId Id;
  std::vector<CredentialDigest> Credentials;
  /// Scheduling priority; 0 is the highest.
  std::uint32_t Priority = 0;
  /// No limit if not set.
  std::optional<OperationLimit> Limit = std::nullopt;

  bool operator==(const AccountRule &) const = default;
};

/// Who may use a route.
enum class RouteAccess : std::uint8_t {
  /// Callers with the credential of an account.
  Authenticated,
  /// Everyone; the caller has no account.
  Public,
};

/// Why a caller is refused or its session ends.
enum class AccountRefusal : std::uint8_t {
  CredentialMissing,
  CredentialMalformed,
  /// Never configured, or withdrawn.
  CredentialUnknown,
  /// Configured for more than one account.
  CredentialAmbiguous,
  /// The session was opened as another account than the one that its
  /// credential now stands for.
  AccountChanged,
};

/// The stable name in the decision log. Thread-safe.
std::string_view toString(AccountRefusal Refusal);

/// The account of a caller, or why it is refused. Immutable value.
struct AccountDecision {
  std::optional<AccountRefusal> Refusal = std::nullopt;
  /// Empty if the caller has no account.
  ClientAccountId Account = {};

  bool operator==(const AccountDecision &) const = default;
};

/// The accounts of one configuration version. Immutable value.
class AccountDirectory {
public:
  /// A configuration without accounts, which admits every caller.
  AccountDirectory() = default;
  /// Only the credentials of these accounts are admitted. A credential of
  /// several accounts is refused, because it doesn't tell who the caller is.
  /// Precondition: account names differ.
  explicit AccountDirectory(std::vector<AccountRule> Accounts);

  /// Decides on a caller that opens a session. Thread-safe.
  [[nodiscard]] AccountDecision decide(RouteAccess Access,
                                       const PresentedCredential &Caller) const;
  /// Why a session that was opened as Account has to end; empty if it may go
  /// on. Thread-safe.
  [[nodiscard]] std::optional<AccountRefusal>
  recheck(RouteAccess Access, const PresentedCredential &Caller,
          const ClientAccountId &Account) const;
  /// The account, or nullptr; valid as long as this object. Thread-safe.
  [[nodiscard]] const AccountRule *account(const ClientAccountId &Id) const;
  [[nodiscard]] const std::vector<AccountRule> &accounts() const {
    return this->Accounts;
  }
  /// Whether callers need a credential.
  [[nodiscard]] bool required() const { return this->Required; }

  bool operator==(const AccountDirectory &) const = default;

private:
  struct Holder {
    std::size_t Index = 0;
    bool Ambiguous = false;

    bool operator==(const Holder &) const = default;
  };

  bool Required = false;
  std::vector<AccountRule> Accounts;
  std::unordered_map<CredentialDigest, Holder> Holders;
};

} // namespace turmericpitch
