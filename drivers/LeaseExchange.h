// Exchanges primary records and lease grants with other instances.
#pragma once

#include "drivers/PeerTransport.h"
#include "failover/LeaseRound.h"
#include "failover/PrimaryLeases.h"
#include "membership/InstanceRegistry.h"
#include "routing/FreshnessTracker.h"

namespace turmericpitch {

struct LeaseExchangeOptions {
  InstanceId Self;
  Endpoint Listen;
};

/// Queries other instances for primary records and lease grants, and answers
/// their queries. Not thread-safe: use only from the thread that runs Exec.
class LeaseExchange {
public:
  struct Hooks {
    /// Whether this instance may grant a lease, which promises not to close the
    /// service's record.
    std::function<bool(const ServiceId &)> MayGrant;
    /// This process's own registration, once it starts no further failover and
    /// has none in progress; nothing before.
    std::function<std::optional<Revision>()> Retired;
    /// Whether this instance reaches a service's primary.
    std::function<PrimaryReachability(const ServiceId &)> Reachability;
    /// The newest sample of the primary of an epoch, or nothing.
    std::function<std::optional<PrimarySample>(const ServiceId &,
                                               std::uint64_t Epoch)>
        Sample;
    /// Called with another instance's sample.
    std::function<void(const ServiceId &, std::uint64_t Epoch,
                       const PrimarySample &)>
        OnSample;
    /// The versions that this instance knows.
    std::function<KnownVersions()> Versions;
    /// Called with the versions that another instance knows, from its reply to
    /// a query sent at QuerySentAt.
    std::function<void(const KnownVersions &, TimePoint QuerySentAt)>
        OnVersions;
    /// Called when a record has changed.
    std::function<void()> OnChanged;
    /// Called when all instances of a round have replied.
    std::function<void(const LeaseRound &)> OnComplete;
  };

  LeaseExchange(Executor Exec, LeaseExchangeOptions Options,
                PrimaryLeases &Leases, LeaseGrants &Grants,
                const InstanceRegistry &Instances, Hooks Callbacks);

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Queries one instance for its records.
  void query(const RegisteredInstance &Peer);
  /// Queries all other instances and starts a new round. The round does not
  /// wait for retired instances: their grants are permanent.
  void queryAll(bool WantsGrants);
  /// Notifies all other instances that records here have changed, so that they
  /// query this instance.
  void notifyChange();
  /// Since when an instance has not answered queries; nothing if it answered
  /// since, or was not queried.
  [[nodiscard]] std::optional<TimePoint>
  silentSince(const InstanceId &Id) const;
  /// When an instance outside a zone last replied; nothing if none has.
  [[nodiscard]] std::optional<TimePoint>
  lastReplyOutside(const ZoneId &Zone) const;
  /// The earliest time from which an instance outside a zone has not answered
  /// queries. Considers only instances silent for longer than Limit; nothing if
  /// there is none.
  [[nodiscard]] std::optional<TimePoint>
  silentOutsideSince(const ZoneId &Zone, Duration Limit) const;
  /// The newest round.
  [[nodiscard]] const LeaseRound &round() const { return this->Round; }

private:
  struct SentQuery {
    std::uint32_t Serial = 0;
    TimePoint SentAt;
  };

  void send(const Endpoint &To, const LeaseMessage &Message);
  void onArrival(const PeerArrival &Arrival);
  void onQuery(const PeerArrival &From, const LeaseQuery &Query);
  void onReply(const PeerArrival &From, const LeaseReply &Reply);
  ServiceReport report(const PrimaryRecord &Record, bool WantsGrants,
                       TimePoint Now);

  LeaseExchangeOptions Options;
  PrimaryLeases &Leases;
  LeaseGrants &Grants;
  const InstanceRegistry &Instances;
  Hooks Callbacks;
  PeerTransport Transport;
  std::uint32_t NextSerial = 1;
  /// A period during which a process of an instance has not answered queries.
  struct Silence {
    /// The registration of that process.
    Revision Registered;
    TimePoint Since;
  };

  void trackQuery(const RegisteredInstance &Peer, const SentQuery &Sent);
  [[nodiscard]] bool isRetired(const RegisteredInstance &Peer) const;

  /// The newest query to each instance.
  std::map<InstanceId, SentQuery> LastQueries;
  std::map<InstanceId, Silence> Silences;
  std::map<InstanceId, TimePoint> LastReplyAt;
  /// Registrations whose processes will not start a failover again.
  std::map<InstanceId, Revision> RetiredRegistrations;
  LeaseRound Round;
  BootClock Clock;
};

} // namespace turmericpitch
