// Which changes still have to be told to peers.
#pragma once

#include "core/Identifiers.h"

#include <map>
#include <set>
#include <vector>

namespace turmericpitch {

/// Instances with news, least often told first; each is told a bounded
/// number of times. Holds at most one entry for each instance. Not
/// thread-safe.
class UpdateQueue {
public:
  /// News about an instance: its count begins anew.
  void push(const InstanceId &Id);
  void erase(const InstanceId &Id);

  /// Offers instances in order to Take(id), which returns whether it was
  /// told; ends when Take returns false. Those told Limit times leave.
  template <typename Callable>
  void transmit(unsigned MaxTransmissions, Callable &&TrySend) {
    std::vector<Entry> Sent;
    for (const Entry &Each : this->Order) {
      if (!TrySend(Each.Id))
        break;
      Sent.push_back(Each);
    }
    for (const Entry &Each : Sent)
      this->noteTransmitted(Each.Id, MaxTransmissions);
  }

  [[nodiscard]] std::size_t size() const { return this->Order.size(); }

private:
  struct Entry {
    unsigned Transmissions = 0;
    InstanceId Id;
    auto operator<=>(const Entry &) const = default;
  };

  void noteTransmitted(const InstanceId &Id, unsigned MaxTransmissions);

  std::set<Entry> Order;
  std::map<InstanceId, unsigned> Counts;
};

} // namespace turmericpitch
