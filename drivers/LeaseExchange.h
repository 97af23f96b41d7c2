// Exchanges primary records and lease grants with other instances.
#pragma once

#include "core/RandomSource.h"
#include "drivers/PeerTransport.h"
#include "failover/ConsentRound.h"
#include "failover/GrantRound.h"
#include "failover/LeaseGrants.h"
#include "failover/LeaseRound.h"
#include "failover/PrimaryLeases.h"
#include "failover/RecordVerification.h"
#include "membership/PeerQueries.h"
#include "routing/FreshnessTracker.h"

namespace turmericpitch {

struct LeaseExchangeOptions {
  InstanceId Self;
  Endpoint Listen;
};

/// Queries other instances for primary records, the grantors for grants and
/// consents, and answers their queries. Not thread-safe: use only from the
/// thread that runs Exec.
class LeaseExchange {
public:
  struct Hooks {
    /// Whether this instance may grant leases on a service's primary.
    std::function<bool(const ServiceId &)> MayGrant;
    /// Whether this instance remembers what it has consented to.
    std::function<bool()> RemembersGrants;
    /// Whether this instance is stopping.
    std::function<bool()> Stopping;
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
    std::function<void(const InstanceId &, const KnownVersions &,
                       TimePoint QuerySentAt)>
        OnVersions;
    /// Called when a record has changed.
    std::function<void()> OnChanged;
    /// Called when a majority of the grantors has granted an epoch in a round.
    std::function<void(const GrantedEpoch &, const GrantRound &)> OnGranted;
  };

  LeaseExchange(Executor Exec, LeaseExchangeOptions Options,
                PrimaryLeases &Leases, LeaseGrants &Grants,
                const InstanceRegistry &Instances, Hooks Callbacks);

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Queries one instance for its records.
  void query(const RegisteredInstance &Peer);
  /// Queries all other instances and starts a new round.
  void queryAll();
  /// Queries all other instances for a sign of life only.
  void pingAll();
  /// Queries Count instances, chosen at random, for a sign of life and their
  /// versions only.
  void pingSome(std::size_t Count, RandomSource &Random);
  /// Queries Count of the grantors in turn for a sign of life only.
  void pingGrantors(const GrantorSet &Set, std::size_t Count);
  /// Requests grants of all grantors, this instance included if it is one, and
  /// starts a new round of grants.
  void requestGrants(const GrantorSet &Set);
  /// Requests consent to the closing of a service's record, which the store
  /// holds at Closed. Repeats the requests that are unanswered if the round for
  /// this closing is in progress.
  const ConsentRound &requestConsent(const GrantorSet &Set,
                                     const ServiceId &Service, Revision Closed);
  /// Asks the grantors what they know for a verification that is in progress.
  /// Repeat until its status changes; the replies go into Verification.
  void queryForVerification(RecordVerification &Verification);
  /// Stops passing replies to a verification.
  void endVerification() {
    this->Verification = nullptr;
    this->VerificationSerials.clear();
  }
  /// Notifies all other instances that records here have changed, so that they
  /// query this instance.
  void notifyChange();
  /// Since when an instance has not answered queries; nothing if it answered
  /// since, or was not queried.
  [[nodiscard]] std::optional<TimePoint>
  silentSince(const InstanceId &Id) const {
    return this->Queries.silentSince(Id);
  }
  /// When an instance outside a zone last replied; nothing if none has.
  [[nodiscard]] std::optional<TimePoint>
  lastReplyOutside(const ZoneId &Zone) const {
    return this->Queries.lastReplyOutside(Zone);
  }
  /// The earliest time from which an instance outside a zone has not answered
  /// queries. Considers only instances silent for longer than Limit; nothing if
  /// there is none.
  [[nodiscard]] std::optional<TimePoint>
  silentOutsideSince(const ZoneId &Zone, Duration Limit) const {
    return this->Queries.silentOutsideSince(Zone, Limit, this->Clock.now());
  }
  /// Number of instances that something is remembered of.
  [[nodiscard]] std::size_t knownPeers() const { return this->Queries.count(); }
  /// The newest round.
  [[nodiscard]] const LeaseRound &round() const { return this->Round; }
  /// This instance as a grantor.
  [[nodiscard]] Grantor self() const {
    return {.Id = this->Options.Self, .PeerEndpoint = this->Options.Listen};
  }

private:
  struct SentQuery {
    std::uint32_t Serial = 0;
    TimePoint SentAt;
  };

  void send(const Endpoint &To, const LeaseMessage &Message);
  void onArrival(const PeerArrival &Arrival);
  void onQuery(const PeerArrival &From, const LeaseQuery &Query);
  void onReply(const PeerArrival &From, const LeaseReply &Reply);
  void onCloseRequest(const PeerArrival &From, const CloseRequest &Request);
  void onCloseConsent(const Grantor &From, const CloseConsent &Consent);
  void onGrants(const Grantor &From, const LeaseReply &Reply);
  ServiceReport report(const PrimaryRecord &Record, bool WantsGrants,
                       TimePoint Now);
  /// The parts of this instance's reply to a query.
  std::vector<LeaseReply> replies(const LeaseQuery &Query);
  SentQuery nextQuery() {
    return {.Serial = this->NextSerial++, .SentAt = this->Clock.now()};
  }

  LeaseExchangeOptions Options;
  PrimaryLeases &Leases;
  LeaseGrants &Grants;
  const InstanceRegistry &Instances;
  Hooks Callbacks;
  PeerQueries Queries;
  PeerTransport Transport;
  std::uint32_t NextSerial = 1;
  std::size_t NextPinged = 0;
  LeaseRound Round;
  GrantRound NewestGrants;
  /// The newest round of each service.
  std::map<ServiceId, ConsentRound> ConsentRounds;
  RecordVerification *Verification = nullptr;
  /// Only replies to these queries count for the verification.
  std::set<std::uint32_t> VerificationSerials;
  BootClock Clock;
};

} // namespace turmericpitch
