// Tracks how often client accounts use this instance.
#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"

#include <cstddef>
#include <map>

namespace turmericpitch {

struct AccountUseOptions {
  /// Time constant of the decay. An account's use is known after a few of its
  /// statements, and what it did a minute ago no longer counts.
  Duration TimeConstant = std::chrono::seconds(10);
  /// Accounts with the least use are forgotten beyond this number.
  std::size_t MaxAccounts = 4096;
};

/// Counts the statements of each account, of which older ones count less. Pure;
/// not thread-safe.
class AccountUse {
public:
  explicit AccountUse(AccountUseOptions Options = {}) : Options(Options) {}

  /// Records a statement of the account. Precondition: Now never decreases.
  void note(const ClientAccountId &Account, TimePoint Now);
  /// The account's decayed number of statements; 0 if it is unknown.
  [[nodiscard]] double weight(const ClientAccountId &Account,
                              TimePoint Now) const;
  /// The account's fraction of the statements of all accounts, which is about
  /// the probability that the next one is of this account; 0 if it is unknown.
  [[nodiscard]] double share(const ClientAccountId &Account,
                             TimePoint Now) const;
  [[nodiscard]] std::size_t size() const { return this->Accounts.size(); }

private:
  struct Entry {
    double Weight = 0;
    TimePoint At;
  };

  [[nodiscard]] double decayed(const Entry &Of, TimePoint Now) const;
  /// Forgets the accounts with less use than the average one.
  void forgetUnused(TimePoint Now);

  AccountUseOptions Options;
  std::map<ClientAccountId, Entry> Accounts;
  /// Of all accounts together.
  Entry Total;
};

} // namespace turmericpitch
