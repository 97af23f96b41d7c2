// Queue of membership updates to send to peers.
#pragma once

#include "core/Identifiers.h"

#include <map>
#include <set>
#include <vector>

namespace turmericpitch {

/// Instances with updates to send, least often sent first. Each update is sent
/// a bounded number of times. Holds at most one entry per instance. Not
/// thread-safe.
class UpdateQueue {
public:
  /// Adds an instance, or resets its transmission count.
  void push(const InstanceId &Id);
  void erase(const InstanceId &Id);

  /// Calls TrySend(id) for the instances in order until it returns false, which
  /// means that the update was not sent. Removes instances that have been sent
  /// MaxTransmissions times.
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
