#include "limits/KeeperRanking.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericpitch {

namespace {

std::uint64_t weight(const InstanceId &Keeper, const ClientAccountId &Account) {
  std::string Text = Account.Value + '\0' + Keeper.Value;
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

const InstanceId &firstKeeper(const std::vector<InstanceId> &Keepers,
                              const ClientAccountId &Account) {
  return *std::max_element(Keepers.begin(), Keepers.end(),
                           [&](const InstanceId &A, const InstanceId &B) {
                             return std::pair(weight(A, Account), A) <
                                    std::pair(weight(B, Account), B);
                           });
}

} // namespace turmericpitch
