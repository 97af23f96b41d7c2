// Keeps the configuration in force; applies only forwards.
#pragma once

#include "configuration/TicketAcceptance.h"

#include <mutex>

namespace turmericpitch {

/// The configuration that this instance runs. Thread-safe; snapshots are
/// replaced whole.
class ConfigurationController {
public:
  /// Takes in the whole stored configuration; ignored if not newer. Returns
  /// whether it is now in force. Errors: BadRequest if it is unreadable; the
  /// one in force stays.
  Result<bool> onStored(const KeyValueAnswer &Answer);
  /// Takes in the events of one later revision. Errors: as onStored().
  Result<bool> onEvents(const WatchBatch &Batch);

  /// The configuration in force, or nullptr before the first.
  [[nodiscard]] SharedConfiguration current() const;
  /// The revision up to which everything has been taken in.
  [[nodiscard]] Revision reached() const;

private:
  mutable std::mutex Guard;
  SharedConfiguration Current;
  Revision Reached;
};

} // namespace turmericpitch
