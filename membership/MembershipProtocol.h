// The gossip protocol by which instances learn which of them are live, leaving
// or dead.
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

/// A message and the endpoint to send it to.
struct OutgoingMembershipMessage {
  Endpoint To;
  MembershipMessage Message;
};
using OutgoingMembershipMessages = std::vector<OutgoingMembershipMessage>;

/// Counts since the process's start.
struct MembershipCounters {
  std::uint64_t Probes = 0;
  std::uint64_t ProbesFailed = 0;
  /// Suspicions and deaths detected by this instance, not received from peers.
  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0;
  /// Times this instance refuted a report that it is suspect or dead.
  std::uint64_t Refutations = 0;
  /// Messages dropped because they were replayed or belong to an earlier
  /// incarnation.
  std::uint64_t Replayed = 0;
  /// Messages dropped because they are addressed to another instance or their
  /// sender is not the one that signed the frame.
  std::uint64_t Misaddressed = 0;
  /// Payloads that could not be decoded.
  std::uint64_t Malformed = 0;
  /// Sections skipped because their tags are unknown to this version.
  std::uint64_t UnknownSections = 0;
  /// Detected pauses of this process.
  std::uint64_t Pauses = 0;
};

/// Probes a constant number of peers in each period and passes updates on with
/// probes and replies. Performs no I/O; time and the random seed are
/// parameters. Not thread-safe.
class MembershipProtocol {
public:
  MembershipProtocol(MembershipOptions Options, std::uint64_t Seed);

  /// Runs the due actions. Call at nextTick() or more often.
  OutgoingMembershipMessages onTick(TimePoint Now);
  [[nodiscard]] TimePoint nextTick() const;
  /// Processes a message. From is the instance whose key signed the frame. A
  /// message has no effect if it is a replay, is addressed to another instance
  /// or names another sender than From.
  OutgoingMembershipMessages onMessage(const InstanceId &From,
                                       const MembershipMessage &Message,
                                       TimePoint Now);
  /// Processes the platform's instance list. A listed instance is probed, but
  /// does not count as live because it is listed. A leaving mark applies to the
  /// incarnation that was running when it was set.
  void onPlatformList(const std::vector<PlatformInstance> &List, TimePoint Now);
  /// Adds records from another source than a peer's message without passing
  /// them on, and marks the join as complete.
  void preload(const std::vector<InstanceRecord> &Records, TimePoint Now);
  /// Notifies some peers at once that this instance accepts no more work.
  OutgoingMembershipMessages beginLeaving(TimePoint Now);
  /// Notifies some peers at once that this instance shuts down.
  OutgoingMembershipMessages depart(TimePoint Now);

  [[nodiscard]] MembershipSnapshot snapshot(TimePoint Now) const;
  /// Changes whenever the result of snapshot() changes.
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

  // Processing received messages and updates.
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

  // Periodic actions.
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
