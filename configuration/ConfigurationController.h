// Keeps the configuration in force; applies only forwards.
#pragma once

#include "configuration/ConfigurationSnapshot.h"

#include <mutex>

namespace turmericpitch {

/// The configuration that this instance runs. Thread-safe; snapshots are
/// replaced whole, so that a ticket is in force wholly or not at all.
class ConfigurationController {
public:
  /// Applies a change and returns whether a later ticket came into force.
  /// Errors, after which the one in force stays: Superseded if the change is
  /// older than it, BadRequest if the change is unreadable or gives the
  /// ticket in force other content, Unavailable if tickets are missing
  /// between the two.
  Result<bool> apply(const ConfigurationChange &Change);

  /// The configuration in force, or nullptr before the first.
  [[nodiscard]] SharedConfiguration current() const;

private:
  /// One change at a time; readers go on meanwhile.
  std::mutex ApplyMutex;
  mutable std::mutex Mutex;
  SharedConfiguration Current;
};

} // namespace turmericpitch
