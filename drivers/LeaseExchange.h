// Exchanges what instances know of primaries.
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

/// Belongs to one thread's executor.
class LeaseExchange {
public:
  struct Hooks {
    /// Whether this instance may promise not to close a service's record.
    std::function<bool(const ServiceId &)> MayGrant;
    /// The own registration, once this process begins no further change of
    /// any primary and has none under way; nothing before.
    std::function<std::optional<Revision>()> Retired;
    /// How a service's primary answers this instance.
    std::function<PrimaryReachability(const ServiceId &)> Reachability;
    /// The newest sample of the primary of a reign, or nothing.
    std::function<std::optional<PrimarySample>(const ServiceId &,
                                               std::uint64_t Epoch)>
        Sample;
    /// Another instance's sample.
    std::function<void(const ServiceId &, std::uint64_t Epoch,
                       const PrimarySample &)>
        OnSample;
    /// How recent what this instance knows is.
    std::function<KnownVersions()> Versions;
    /// How recent what another instance knows is, as it answers a question
    /// sent at AskedAt.
    std::function<void(const KnownVersions &, TimePoint AskedAt)> OnVersions;
    /// A record has changed.
    std::function<void()> OnChanged;
    /// A round of questions to all is complete.
    std::function<void(const LeaseRound &)> OnComplete;
  };

  LeaseExchange(Executor Exec, LeaseExchangeOptions Options,
                PrimaryLeases &Leases, LeaseGrants &Grants,
                const InstanceRegistry &Instances, Hooks Calls);

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Asks one instance for what it knows.
  void query(const RegisteredInstance &Peer);
  /// Asks all others and begins a new round. Those that have retired promise
  /// for good.
  void queryAll(bool WantsGrants);
  /// Tells all others that asking this instance is worth it.
  void notifyChange();
  /// Since when an instance has left questions unanswered; nothing if it
  /// answered the newest or was not asked.
  [[nodiscard]] std::optional<TimePoint>
  silentSince(const InstanceId &Id) const;
  /// When an instance outside a zone last answered; nothing if none has.
  [[nodiscard]] std::optional<TimePoint>
  lastReplyOutside(const ZoneId &Zone) const;
  /// Since when the first instance outside a zone has left questions
  /// unanswered; nothing if none has for longer than Limit.
  [[nodiscard]] std::optional<TimePoint>
  silentOutsideSince(const ZoneId &Zone, Duration Limit) const;
  /// The newest round.
  [[nodiscard]] const LeaseRound &round() const { return this->Round; }

private:
  /// When a question was sent.
  struct SentQuery {
    std::uint32_t Serial = 0;
    TimePoint SentAt;
  };

  void send(const Endpoint &To, const LeaseMessage &Message);
  void onArrival(const PeerArrival &Arrival);
  void onQuery(const PeerArrival &From, const LeaseQuery &Asked);
  void onReply(const PeerArrival &From, const LeaseReply &Reply);
  ServiceReport report(const PrimaryRecord &Record, bool WantsGrants,
                       TimePoint Now);

  LeaseExchangeOptions Options;
  PrimaryLeases &Leases;
  LeaseGrants &Grants;
  const InstanceRegistry &Instances;
  Hooks Calls;
  PeerTransport Transport;
  std::uint32_t NextSerial = 1;
  /// Questions that a life of an instance has left unanswered.
  struct Silence {
    /// The registration of that life.
    Revision Registered;
    TimePoint Since;
  };

  void trackQuery(const RegisteredInstance &Peer, const SentQuery &Sent);
  [[nodiscard]] bool isRetired(const RegisteredInstance &Peer) const;

  /// The newest question to each instance.
  std::map<InstanceId, SentQuery> LastQueries;
  std::map<InstanceId, Silence> Silences;
  std::map<InstanceId, TimePoint> LastReplyAt;
  /// Registrations whose processes will not change any primary again.
  std::map<InstanceId, Revision> RetiredRegistration;
  LeaseRound Round;
  BootClock Clock;
};

} // namespace turmericpitch
