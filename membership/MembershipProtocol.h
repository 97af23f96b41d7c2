// Who is live, leaving or gone: the exchange between instances.
#pragma once

#include "core/RandomSource.h"
#include "membership/InstanceTable.h"
#include "membership/MembershipMessage.h"
#include "membership/MembershipOptions.h"
#include "membership/MembershipSnapshot.h"
#include "membership/ProbeTargets.h"
#include "membership/UpdateQueue.h"
#include "membership/ZoneReachability.h"

#include <map>
#include <optional>
#include <set>

namespace turmericpitch {

/// A message to send.
struct OutgoingMembershipMessage {
  Endpoint To;
  MembershipMessage Message;
};
using OutgoingMembershipMessages = std::vector<OutgoingMembershipMessage>;

/// Counts since the start.
struct MembershipCounters {
  std::uint64_t Probes = 0;
  std::uint64_t ProbesFailed = 0;
  /// Suspicions and deaths found here, not heard of.
  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0;
  /// Times this instance had to say that it is live.
  std::uint64_t Refutations = 0;
  /// Messages dropped as seen before or of an earlier incarnation.
  std::uint64_t Replayed = 0;
  /// Messages dropped as meant for another instance, or from another one
  /// than they say.
  std::uint64_t Misaddressed = 0;
  /// Payloads that could not be read.
  std::uint64_t Malformed = 0;
  /// Sections of later versions that were skipped.
  std::uint64_t UnknownSections = 0;
  /// Times this process was found to have been paused.
  std::uint64_t Pauses = 0;
};

/// Probes a constant number of peers in each period and passes news on with
/// probes and answers. Pure: time and randomness are handed in. Not
/// thread-safe.
class MembershipProtocol {
public:
  MembershipProtocol(MembershipOptions Options, std::uint64_t Seed);

  /// Does what is due. Call at nextTick() or more often.
  OutgoingMembershipMessages onTick(TimePoint Now);
  [[nodiscard]] TimePoint nextTick() const;
  /// From is whose key signed the frame. Anything that isn't fresh, meant
  /// for this instance and from its own sender changes nothing.
  OutgoingMembershipMessages onMessage(const InstanceId &From,
                                       const MembershipMessage &Message,
                                       TimePoint Now);
  /// One witness among others: a listed instance is probed, never believed
  /// live on the list's word; a leaving mark counts for the incarnation it
  /// was made in.
  void onPlatformList(const std::vector<PlatformInstance> &List, TimePoint Now);
  /// Takes in records from elsewhere than a peer's message, without passing
  /// them on, and counts as joined.
  void preload(const std::vector<InstanceRecord> &Records, TimePoint Now);
  /// Tells some peers at once that this instance takes no more work.
  OutgoingMembershipMessages beginLeaving(TimePoint Now);
  /// Tells some peers at once that this instance ends.
  OutgoingMembershipMessages depart(TimePoint Now);

  [[nodiscard]] MembershipSnapshot snapshot(TimePoint Now) const;
  /// Changes whenever snapshot() would.
  [[nodiscard]] std::uint64_t version() const;
  [[nodiscard]] bool leaving() const { return this->Self.Leaving; }
  [[nodiscard]] const InstanceTable &table() const { return this->Table; }
  [[nodiscard]] const MembershipCounters &counters() const {
    return this->Counters;
  }
  void noteMalformed() { ++this->Counters.Malformed; }
  void noteUnknownSections(std::uint32_t Count) {
    this->Counters.UnknownSections += Count;
  }

private:
  struct Probe {
    InstanceId Target;
    TimePoint SentAt;
    std::vector<std::uint64_t> Sequences;
    bool IndirectProbesSent = false;
    unsigned Failures = 0;
  };
  struct Relay {
    InstanceId Origin;
    std::uint64_t Sequence = 0;
  };
  struct JoinState {
    bool Done = false;
    InstanceId Cursor;
    std::uint64_t Sequence = 0;
    bool Waiting = false;
    TimePoint NextAt{};
    unsigned Failures = 0;
  };

  // Building messages.
  MembershipMessage makeMessage(MembershipMessageKind Kind,
                                const InstanceId &To, TimePoint Now);
  void addUpdates(MembershipMessage &Message, std::size_t Budget);
  void addBucketDigests(MembershipMessage &Message);
  void addBucketDifferences(MembershipMessage &Message,
                            const BucketDigests &Remote);
  OutgoingMembershipMessage ping(const InstanceId &To, const Endpoint &Where,
                                 TimePoint Now);
  OutgoingMembershipMessages announce(TimePoint Now);
  [[nodiscard]] unsigned retransmitLimit() const;

  // Taking in what is heard.
  void applyUpdate(const InstanceRecord &Received, TimePoint Now);
  void applyPlatformMark(const InstanceId &Id);
  void applyUpdateAboutSelf(const InstanceRecord &Received);
  void updateSelf();
  bool admit(const InstanceId &From, const MembershipMessage &Message,
             TimePoint Now);
  OutgoingMembershipMessages onPing(const MembershipMessage &Message,
                                    TimePoint Now);
  OutgoingMembershipMessages onAck(const MembershipMessage &Message,
                                   TimePoint Now);
  OutgoingMembershipMessages onPingRequest(const MembershipMessage &Message,
                                           TimePoint Now);
  OutgoingMembershipMessages onPageRequest(const MembershipMessage &Message,
                                           TimePoint Now);
  void onPage(const MembershipMessage &Message, TimePoint Now);

  // What is due.
  void detectPause(TimePoint Now);
  void processDeadlines(TimePoint Now);
  void sendIndirectProbes(TimePoint Now, OutgoingMembershipMessages &Out);
  void beginPeriod(TimePoint Now, OutgoingMembershipMessages &Out);
  void finishProbe(TimePoint Now);
  void reconnect(TimePoint Now, OutgoingMembershipMessages &Out);
  void continueJoin(TimePoint Now, OutgoingMembershipMessages &Out);
  [[nodiscard]] std::vector<MembershipSeed> joinCandidates() const;
  [[nodiscard]] bool maySuspect(const InstanceRecord &Target) const;
  [[nodiscard]] Duration suspicionTimeout() const;
  [[nodiscard]] Duration zoneSilenceTimeout() const;
  [[nodiscard]] std::set<ZoneId> unreachableZones(TimePoint Now) const;

  MembershipOptions Options;
  InstanceRecord Self;
  RandomSource Random;
  InstanceTable Table;
  UpdateQueue PendingUpdates;
  ZoneReachability ZoneContacts;
  ProbeTargets Targets;
  MembershipCounters Counters;
  std::uint64_t LastSequence = 0;
  std::optional<Probe> CurrentProbe;
  std::map<std::uint64_t, Relay> Relays;
  std::set<std::pair<TimePoint, InstanceId>> Deadlines;
  std::set<InstanceId> DeadInstances;
  std::map<InstanceId, PlatformInstance> PlatformInstances;
  JoinState JoinProgress;
  TimePoint NextPeriodAt{};
  std::optional<TimePoint> LastTickAt;
  TimePoint LastReceivedAt{};
  std::uint64_t Periods = 0;
  std::set<ZoneId> UnreachableZones;
  std::uint64_t LocalVersion = 0;
  bool SelfReplaced = false;
};

} // namespace turmericpitch
