// Granted operations of one account that have not been used yet.
#pragma once

#include "core/Time.h"

#include <optional>
#include <vector>

namespace turmericpitch {

/// Whole operations, each with the time until which it may be used. Pure; not
/// thread-safe.
class OperationStock {
public:
  /// Adds operations; a fraction of one is dropped.
  void add(double Operations, TimePoint ExpiresAt, TimePoint Now);
  /// Takes the operation that expires first, and returns its expiry; nothing if
  /// there is none.
  std::optional<TimePoint> take(TimePoint Now);
  [[nodiscard]] double available(TimePoint Now) const;

private:
  struct Entry {
    TimePoint ExpiresAt;
    double Operations = 0;
  };

  void removeExpired(TimePoint Now);

  std::vector<Entry> Entries;
};

} // namespace turmericpitch
