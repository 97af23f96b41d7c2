// Spreads accepted tickets between instances and keeps them in force.
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
  /// Between two rounds of announcements.
  Duration RoundInterval = std::chrono::seconds(1);
  /// The same while there is no configuration at all.
  Duration EmptyRoundInterval = std::chrono::milliseconds(200);
  /// Between two reads of the platform by one reader.
  Duration ReadInterval = std::chrono::seconds(1);
  Duration MaximumReadInterval = std::chrono::seconds(10);
  /// Instances of a zone that read the platform at all times.
  std::size_t ReadersPerZone = 2;
  /// Further ones that begin once nobody has heard of the platform.
  std::size_t StandbyReaders = 4;
  Duration PlatformTimeout = std::chrono::seconds(15);
  /// How long a standby reader then goes on.
  Duration StandbyDuration = std::chrono::minutes(5);
  /// Peers in the zone, and elsewhere, that get each change at once.
  std::size_t SameZoneFanout = 3;
  std::size_t AnyZoneFanout = 1;
};

/// What the driver must do next.
struct SendToPeer {
  Endpoint To;
  ConfigurationMessage Message;
};
/// Read the stored configuration, then call onPlatform().
struct ReadPlatform {
  KeyValueRequest Request;
};
/// Fetch the changes after a ticket over TCP, then call onCopy().
struct FetchCopy {
  Endpoint From;
  TicketNumber After;
};
/// A later ticket is in force.
struct TicketApplied {
  TicketNumber Newest;
};
/// Something that operators must know.
struct DisseminationWarning {
  Error Details;
};
using DisseminationAction = std::variant<SendToPeer, ReadPlatform, FetchCopy,
                                         TicketApplied, DisseminationWarning>;
using DisseminationActions = std::vector<DisseminationAction>;

/// What a peer said that it runs.
struct PeerReport {
  TicketNumber Newest;
  ConfigurationProblem Problem = ConfigurationProblem::None;

  bool operator==(const PeerReport &) const = default;
};

/// One instance's part in spreading tickets: a pure state machine.
///
/// Few instances of each zone read the platform. Whoever gets a later ticket
/// sends it on at once to a constant number of peers; rounds of announcements
/// to random peers close what loss and partitions left open. Only later
/// tickets are applied, each wholly. Not thread-safe.
class Dissemination {
public:
  /// Controller must outlive this object.
  Dissemination(DisseminationOptions Options,
                ConfigurationController &Controller);

  /// The instances believed live.
  void onPeers(SharedPeerDirectory Believed);
  /// Call at nextTick() and whenever convenient.
  DisseminationActions onTick(TimePoint Now);
  [[nodiscard]] TimePoint nextTick() const;
  DisseminationActions onMessage(const InstanceId &From, const Endpoint &Where,
                                 const ConfigurationMessage &Message,
                                 TimePoint Now);
  DisseminationActions onPlatform(const Outcome<KeyValueAnswer> &Answer,
                                  TimePoint Now);
  DisseminationActions onCopy(const Outcome<ConfigurationChange> &Copy,
                              TimePoint Now);
  /// A ticket was accepted through this instance.
  DisseminationActions onAccepted(const ConfigurationChange &Change,
                                  TimePoint Now);

  /// Asks Count peers from index First on what they run; the first page
  /// forgets earlier reports. Empty when there are no more peers.
  DisseminationActions requestReports(std::size_t First, std::size_t Count,
                                      TimePoint Now);
  /// The answers since requestReports().
  [[nodiscard]] const std::map<InstanceId, PeerReport> &reports() const {
    return this->Reports;
  }
  [[nodiscard]] const SharedPeerDirectory &peers() const { return this->Peers; }
  [[nodiscard]] ConfigurationProblem problem() const;

private:
  struct AppliedTicket {
    TicketNumber Before;
    TimePoint At;
  };

  [[nodiscard]] TicketNumber newest() const;
  [[nodiscard]] ConfigurationAnnouncement announcement(TimePoint Now) const;
  void begin(TimePoint Now);
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
  /// The smallest message that brings a peer at After up to date.
  [[nodiscard]] ConfigurationMessage updateFor(TicketNumber After,
                                               TimePoint Now) const;
  void announceToRandomPeers(TimePoint Now, DisseminationActions &Actions);
  /// Up to Count different random peers of a list of indices.
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
  /// The last applications, oldest first.
  std::deque<AppliedTicket> RecentlyApplied;
  std::map<InstanceId, PeerReport> Reports;
  TimePoint ReportsUntil;
};

} // namespace turmericpitch
