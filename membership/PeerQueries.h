// Queries to other instances, and which of them are answered.
#pragma once

#include "membership/InstanceRegistry.h"

#include <deque>
#include <map>

namespace turmericpitch {

/// Remembers the newest queries to each instance and whether it answers them.
/// Of instances that aren't registered, a limited number is remembered.
/// Performs no I/O; not thread-safe.
class PeerQueries {
public:
  /// Queries to one instance whose replies are still accepted.
  static constexpr std::size_t MaxPending = 4;
  /// Instances that aren't registered, beyond which all of them are forgotten.
  static constexpr std::size_t MaxUnregistered = 256;

  /// Precondition: Instances outlives this object.
  explicit PeerQueries(const InstanceRegistry &Instances)
      : Instances(Instances) {}

  void onSent(const InstanceId &Peer, std::uint32_t Serial, TimePoint SentAt);
  /// Records a reply. Stopping: whether its sender reports to be stopping.
  void onReply(const InstanceId &Peer, bool Stopping, TimePoint Now);
  /// When the query with this serial was sent to an instance; nothing if it
  /// wasn't, or too many were sent since.
  [[nodiscard]] std::optional<TimePoint> sentAt(const InstanceId &Peer,
                                                std::uint32_t Serial) const;
  /// Since when an instance has not answered queries; nothing if it answered
  /// since, or was not queried.
  [[nodiscard]] std::optional<TimePoint>
  silentSince(const InstanceId &Peer) const;
  /// Whether the registered process has reported to be stopping.
  [[nodiscard]] bool isStopping(const RegisteredInstance &Peer) const;
  /// When a registered instance outside a zone last replied; nothing if none
  /// has.
  [[nodiscard]] std::optional<TimePoint>
  lastReplyOutside(const ZoneId &Zone) const;
  /// The earliest time from which a registered instance outside a zone has not
  /// answered queries. Considers only instances silent for longer than Limit;
  /// nothing if there is none.
  [[nodiscard]] std::optional<TimePoint>
  silentOutsideSince(const ZoneId &Zone, Duration Limit, TimePoint Now) const;
  /// Number of instances that something is remembered of.
  [[nodiscard]] std::size_t count() const { return this->Peers.size(); }

private:
  struct SentQuery {
    std::uint32_t Serial = 0;
    TimePoint SentAt;
  };
  /// A period during which a process of an instance has not answered queries.
  struct Silence {
    /// The registration of that process.
    Revision Registered;
    TimePoint Since;
  };
  struct Peer {
    /// Oldest first.
    std::deque<SentQuery> Pending;
    std::optional<Silence> Silent;
    std::optional<TimePoint> LastReplyAt;
    /// The registration of a process that has reported to be stopping.
    std::optional<Revision> Stopping;
  };
  [[nodiscard]] const Peer *find(const InstanceId &Id) const;
  void forgetUnregistered();

  const InstanceRegistry &Instances;
  std::map<InstanceId, Peer> Peers;
};

} // namespace turmericpitch
