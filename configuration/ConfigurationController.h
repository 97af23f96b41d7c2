// Holds the active configuration and applies newer tickets to it.
#pragma once

#include "configuration/ConfigurationSnapshot.h"

#include <mutex>

namespace turmericpitch {

/// Holds the active configuration of this instance. Thread-safe. Snapshots are
/// replaced atomically, so readers see either all objects of a ticket or none.
class ConfigurationController {
public:
  /// Applies a change and returns whether a newer ticket became active. On
  /// error the active configuration stays as it was. Errors: Superseded if the
  /// change is older than the active ticket; BadRequest if the change is
  /// unreadable or has different content under the active ticket's number;
  /// Unavailable if tickets between the active one and the change are missing.
  Result<bool> apply(const ConfigurationChange &Change);

  /// The active configuration, or nullptr before the first has been applied.
  [[nodiscard]] SharedConfiguration current() const;

private:
  /// Serializes apply(); current() does not wait for it.
  std::mutex ApplyMutex;
  mutable std::mutex Mutex;
  SharedConfiguration Current;
};

} // namespace turmericpitch
