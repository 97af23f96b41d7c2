// Notices that this instance's zone is cut off from everything outside it.
#pragma once

#include "core/Time.h"

#include <optional>

namespace turmericpitch {

struct IsolationDetectorOptions {
  /// Without contact for so long, the others are asked out of turn.
  Duration AskAfter = std::chrono::milliseconds(300);
  /// Without contact for so long, the instance counts as cut off; several
  /// questions to everyone have then stayed unanswered.
  Duration Limit = std::chrono::milliseconds(700);
  /// Contact must last for so long before the instance counts as back.
  Duration ReturnAfter = std::chrono::milliseconds(300);
};

/// An instance that is cut off can prove no right to a primary, so callers
/// are served better in other zones: it reports itself as not ready, and the
/// balancer leads new sessions there. Pure; not thread-safe.
class IsolationDetector {
public:
  explicit IsolationDetector(IsolationDetectorOptions Options = {})
      : Options(Options) {}

  /// Looks at the time of the newest contact with the store or an instance
  /// of another zone. OthersElsewhere: whether such an instance is listed.
  /// Returns whether the verdict has changed.
  bool look(std::optional<TimePoint> ContactAt, bool OthersElsewhere,
            TimePoint Now);
  [[nodiscard]] bool wantsContact(std::optional<TimePoint> ContactAt,
                                  TimePoint Now) const;
  [[nodiscard]] bool isolated() const { return this->Since.has_value(); }
  /// For how long it has been cut off; 0 if it isn't.
  [[nodiscard]] Duration lasting(TimePoint Now) const;

private:
  IsolationDetectorOptions Options;
  std::optional<TimePoint> Since;
  std::optional<TimePoint> BackSince;
};

} // namespace turmericpitch
