// Credit of one account, by the time of its creation.
#pragma once

#include "core/Time.h"

#include <vector>

namespace turmericpitch {

/// Share-seconds that expire at an age. Each share-second is taken at most
/// once. Pure; not thread-safe.
class CreditPool {
public:
  /// Adds share-seconds that were created no earlier than CreatedAt.
  /// Precondition: Age is the time after which credit expires, and positive.
  void add(double ShareSeconds, TimePoint CreatedAt, Duration Age);
  /// Removes what was created before Oldest.
  void removeBefore(TimePoint Oldest);
  [[nodiscard]] double available() const;
  /// Takes share-seconds, the oldest first among those created at or after
  /// Preferred; the others if these don't suffice. Returns the earliest
  /// creation of what was taken. Precondition: available() suffices and
  /// ShareSeconds is positive.
  TimePoint take(double ShareSeconds, TimePoint Preferred);

private:
  struct Slice {
    TimePoint CreatedAt;
    double ShareSeconds = 0;
  };

  /// By time of creation.
  std::vector<Slice> Slices;
};

} // namespace turmericpitch
