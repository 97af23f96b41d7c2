// Gossip of accepted tickets between instances.
#pragma once

#include "configuration/ConfigurationController.h"
#include "configuration/ConfigurationMessages.h"
#include "configuration/PeerDirectory.h"
#include "core/RandomSource.h"

#include <deque>

namespace turmericpitch {

struct DisseminationOptions {
  InstanceId Self;
  ZoneId Zone;
  std::uint64_t Seed = 1;
  /// Interval between rounds of announcements.
  Duration RoundInterval = std::chrono::seconds(1);
  /// Interval between rounds while this instance has no configuration.
  Duration EmptyRoundInterval = std::chrono::milliseconds(200);
  /// Interval between platform reads of one reader.
  Duration ReadInterval = std::chrono::seconds(1);
  /// Upper bound of the interval while reads fail.
  Duration MaximumReadInterval = std::chrono::seconds(10);
  /// Instances of each zone that always read the platform.
  std::size_t ReadersPerZone = 2;
  /// Further instances of each zone that start to read the platform when no
  /// known instance has received a platform reply for PlatformTimeout.
  std::size_t StandbyReaders = 4;
  Duration PlatformTimeout = std::chrono::seconds(15);
  /// How long a standby reader keeps reading after it was activated.
  Duration StandbyDuration = std::chrono::minutes(5);
  /// Number of random peers to which each change is sent immediately: in the
  /// own zone, and in any zone.
  std::size_t SameZoneFanout = 3;
  std::size_t AnyZoneFanout = 1;
};

/// An action for the driver: send the message to the peer.
struct SendToPeer {
  Endpoint To;
  ConfigurationMessage Message;
};
/// Read the stored configuration from the platform, then call onPlatform().
struct ReadPlatform {
  KeyValueRequest Request;
};
/// Fetch the changes after a ticket from the peer over TCP, then call onCopy().
struct FetchCopy {
  Endpoint From;
  TicketNumber After;
};
/// A newer ticket has become active.
struct TicketApplied {
  TicketNumber Newest;
};
/// Log the error for operators.
struct DisseminationWarning {
  Error Details;
};
using DisseminationAction = std::variant<SendToPeer, ReadPlatform, FetchCopy,
                                         TicketApplied, DisseminationWarning>;
using DisseminationActions = std::vector<DisseminationAction>;

/// The newest ticket of a peer and its problem, as the peer reported them.
struct PeerReport {
  TicketNumber Newest;
  ConfigurationProblem Problem = ConfigurationProblem::None;

  bool operator==(const PeerReport &) const = default;
};

/// Gossip state machine of one instance, without I/O.
///
/// A few instances of each zone read the platform. An instance that receives a
/// newer ticket immediately forwards it to a constant number of peers. Periodic
/// announcements to random peers deliver what was missed through packet loss or
/// partitions. Only newer tickets are applied, each atomically. Not
/// thread-safe.
class Dissemination {
public:
  /// The controller must outlive this object.
  Dissemination(DisseminationOptions Options,
                ConfigurationController &Controller);

  /// Sets the instances that are believed to be live.
  void onPeers(SharedPeerDirectory LivePeers);
  /// Runs what is due. Call no later than nextTick(); earlier calls are
  /// harmless.
  DisseminationActions onTick(TimePoint Now);
  [[nodiscard]] TimePoint nextTick() const;
  DisseminationActions onMessage(const InstanceId &From, const Endpoint &Where,
                                 const ConfigurationMessage &Message,
                                 TimePoint Now);
  DisseminationActions onPlatform(const Outcome<KeyValueAnswer> &Answer,
                                  TimePoint Now);
  DisseminationActions onCopy(const Outcome<ConfigurationChange> &Copy,
                              TimePoint Now);
  /// Call when a ticket was accepted through this instance.
  DisseminationActions onAccepted(const ConfigurationChange &Change,
                                  TimePoint Now);

  /// Requests reports from up to Count peers, starting at index First of
  /// peers(). First = 0 clears earlier reports. Returns no actions when there
  /// are no more peers.
  DisseminationActions requestReports(std::size_t First, std::size_t Count,
                                      TimePoint Now);
  /// The reports received since the last requestReports() with First = 0.
  [[nodiscard]] const std::map<InstanceId, PeerReport> &reports() const {
    return this->Reports;
  }
  [[nodiscard]] const SharedPeerDirectory &peers() const { return this->Peers; }
  [[nodiscard]] ConfigurationProblem problem() const;

private:
  /// The newest ticket before a change was applied, and when that was.
  struct AppliedTicket {
    TicketNumber Before;
    TimePoint At;
  };

  [[nodiscard]] TicketNumber newestTicket() const;
  [[nodiscard]] ConfigurationAnnouncement announcement(TimePoint Now) const;
  void start(TimePoint Now);
  void readPlatform(DisseminationActions &Actions);
  void apply(const ConfigurationChange &Change, bool FromPlatform,
             TimePoint Now, DisseminationActions &Actions);
  void warn(const Error &Failure, bool FromPlatform,
            DisseminationActions &Actions);
  void propagate(TimePoint Now, DisseminationActions &Actions);
  void onAnnouncement(const Endpoint &Where,
                      const ConfigurationAnnouncement &Message, TimePoint Now,
                      DisseminationActions &Actions);
  void onDiverged(TicketNumber Number, DisseminationActions &Actions);
  /// The message for a peer at After: the changes since then, or an offer of a
  /// copy if the changes do not fit into a datagram.
  [[nodiscard]] ConfigurationMessage updateFor(TicketNumber After,
                                               TimePoint Now) const;
  void announceToRandomPeers(TimePoint Now, DisseminationActions &Actions);
  /// Up to Count different random peers from a list of indices.
  std::vector<const ConfigurationPeer *>
  chooseFrom(const std::vector<std::uint32_t> &From, std::size_t Count);
  std::vector<const ConfigurationPeer *> chooseAnywhere(std::size_t Count);
  template <typename ToIndex>
  std::vector<const ConfigurationPeer *>
  chooseBy(std::size_t Size, std::size_t Count, ToIndex ToPeerIndex);
  bool mayReadPlatform(TimePoint Now);
  void scheduleRead(TimePoint Now);

  DisseminationOptions Options;
  ConfigurationController &Controller;
  RandomSource Random;
  SharedPeerDirectory Peers;
  std::size_t ReaderRank = 0;
  std::optional<TimePoint> StartedAt;
  TimePoint NextRound;
  TimePoint NextRead;
  TimePoint LastPlatformReply;
  TimePoint StandbyUntil;
  bool ReceivedFromPeer = false;
  bool ReadPending = false;
  bool FetchPending = false;
  std::uint32_t ConsecutiveReadFailures = 0;
  ConfigurationProblem Problem = ConfigurationProblem::None;
  std::optional<Error> LastWarning;
  /// Changes applied within the last RecentTicketWindow, oldest first.
  std::deque<AppliedTicket> RecentlyApplied;
  std::map<InstanceId, PeerReport> Reports;
  TimePoint ReportsUntil;
};

} // namespace turmericpitch
