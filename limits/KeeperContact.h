// The exchange with one keeper, as the other instances see it.
#pragma once

#include "limits/LimitMessages.h"

#include <map>

namespace turmericpitch {

struct KeeperContactOptions {
  /// A keeper that left two requests unanswered for this long is unreachable.
  Duration SilenceTimeout = std::chrono::milliseconds(400);
  /// Between requests to an unreachable keeper.
  Duration ProbeInterval = std::chrono::seconds(1);
  /// The same after the first request to a keeper that hasn't answered any. It
  /// doubles up to ProbeInterval. In a fleet that starts at once, a keeper
  /// answers only after it has read the configuration and the list of
  /// instances, a few hundred milliseconds later.
  Duration FirstProbeInterval = std::chrono::milliseconds(50);
};

/// Counts the requests to one keeper and their replies. Pure; not thread-safe.
class KeeperContact {
public:
  /// Its sequences start after PriorSequence.
  KeeperContact(KeeperContactOptions Options, std::uint64_t PriorSequence)
      : Options(Options), LastSequence(PriorSequence) {}

  /// Whether credit may be deposited with the keeper.
  [[nodiscard]] bool reachable(TimePoint Now) const;
  [[nodiscard]] bool probeDue(TimePoint Now) const;
  /// When the next probe is due, if the keeper answers nothing until then; in
  /// the past if no request has been sent.
  [[nodiscard]] TimePoint nextProbeAt() const;
  /// Whether the keeper has answered any request.
  [[nodiscard]] bool hasAnswered() const { return this->Stamp.has_value(); }
  /// Returns the sequence of a request that is sent now.
  std::uint64_t onSend(TimePoint Now);
  /// That of the newest request.
  [[nodiscard]] std::uint64_t lastSequence() const {
    return this->LastSequence;
  }
  /// When the request of this sequence was sent; nothing if it is not waiting
  /// for a reply.
  [[nodiscard]] std::optional<TimePoint> sentAt(std::uint64_t Sequence) const;
  /// Returns when the request was sent; nothing if it was answered before or is
  /// unknown.
  std::optional<TimePoint> onReply(const LimitReply &Reply, TimePoint Now);
  /// The keeper's newest stamp, and when it arrived here.
  [[nodiscard]] const std::optional<KeeperStamp> &stamp() const {
    return this->Stamp;
  }
  [[nodiscard]] TimePoint stampReceivedAt() const {
    return this->StampReceivedAt;
  }

private:
  KeeperContactOptions Options;
  std::uint64_t LastSequence;
  std::optional<TimePoint> LastSentAt;
  /// Requests sent before the first reply.
  std::uint32_t FirstRequests = 0;
  /// Requests without a reply, by sequence.
  std::map<std::uint64_t, TimePoint> Outstanding;
  std::uint64_t AnsweredSequence = 0;
  std::optional<KeeperStamp> Stamp;
  TimePoint StampReceivedAt;
};

} // namespace turmericpitch
