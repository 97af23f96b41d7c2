// The links of this instance to one member.
#pragma once

#include "drivers/MemberLink.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/ConnectionAllowance.h"
#include "routing/Placement.h"

#include <vector>

namespace turmericpitch {

struct MemberLinkPoolOptions {
  /// Limit for connecting and opening a session: an answer takes about 15 ms
  /// when all is well.
  Duration OpenTimeout = std::chrono::milliseconds(400);
  /// A member that can't be reached is left alone this long, twice as long
  /// after each further failure, up to MostPause.
  Duration InitialBackoff = std::chrono::milliseconds(100);
  Duration MaxBackoff = std::chrono::milliseconds(1000);
  /// A replica whose log fell short is not asked for further positions for
  /// this long, twice as long after each further time, up to MostShortPause.
  Duration InitialLagBackoff = std::chrono::milliseconds(10);
  Duration MaxLagBackoff = std::chrono::milliseconds(320);
  /// Falls short several times in a row: its pause has doubled to this.
  Duration RepeatedLagBackoff = std::chrono::milliseconds(40);
  /// A replica that was not asked for longer than this is not known to fall
  /// short.
  Duration LagMemory = std::chrono::milliseconds(1500);
  /// Links kept however long they are idle. Few, as a member holds those of
  /// an instance without power for three seconds more, and they count against
  /// its limit when the instance is back.
  std::size_t MinIdleLinks = 2;
  /// Even shares smaller than this keep none: all instances together then
  /// hold less than half of the member's limit while load is low.
  std::size_t MinShareToKeepIdle = 4;
  /// Idle links beyond are closed after this; where shares are small, all but
  /// the one used last sooner.
  Duration ExtraIdleTimeout = std::chrono::seconds(1);
  Duration SmallShareIdleTimeout = std::chrono::milliseconds(300);
  /// Where shares are small, no idle link is kept for this long after the
  /// start: members still hold the links of earlier lives for three seconds,
  /// and what is left has to go round.
  Duration StartPeriod = std::chrono::milliseconds(3500);
  /// Taken for the time of a statement until one was observed.
  Duration InitialServiceTime = std::chrono::milliseconds(25);
};

/// Belongs to one thread's executor.
class MemberLinkPool : public std::enable_shared_from_this<MemberLinkPool> {
public:
  MemberLinkPool(boost::asio::any_io_executor Exec, RegisteredMember Member,
                 ConnectionAllowanceOptions Allowance,
                 MemberLinkPoolOptions Options = {});
  ~MemberLinkPool();
  MemberLinkPool(const MemberLinkPool &) = delete;
  MemberLinkPool &operator=(const MemberLinkPool &) = delete;

  /// The member's entry has changed; another life or address closes all
  /// links, draining the idle ones.
  void onEntryChanged(const RegisteredMember &Now);
  void setAllowance(ConnectionAllowanceOptions Allowance);

  /// The member as placement sees it.
  [[nodiscard]] MemberCandidate candidate(const ZoneId &OwnZone,
                                          TimePoint Now) const;
  /// An idle link, the one that fits the session with the fewest steps first,
  /// or nullptr. It counts as in use until giveBack().
  std::shared_ptr<MemberLink>
  takeIdle(const std::map<std::string, std::string> &Values);
  /// Opens a link; OnOpened runs later. On success it is in use.
  std::shared_ptr<MemberLink> openLink(MemberLink::OpenHandler OnOpened);
  /// A link in use is free again; one that can't serve others is closed.
  void release(const std::shared_ptr<MemberLink> &Link, TimePoint Now);

  void onStatementSent();
  /// How long a statement was at the member, and how long it should be at
  /// the most for its caller's goal to be met.
  struct RunTime {
    Duration Took{0};
    Duration Allotted{0};
  };
  /// A statement sent is over. Ran: set if the member ran it.
  void onStatementEnded(const std::optional<RunTime> &Ran);
  /// Whether the member has answered something asked of it since a time.
  [[nodiscard]] bool answeredSince(TimePoint Time) const {
    return this->LastAnswerAt > Time;
  }
  /// Whether statements wait at the member.
  [[nodiscard]] bool congested() const { return this->Concurrency.congested(); }
  /// The member's log was seen to reach a position.
  void onReached(const TermPosition &Position);
  /// The member served a read that asked for a position.
  void onCaughtUp() { this->LagBackoff = Duration{0}; }
  /// The member's log fell short of a position asked for.
  void onLagging(const TermPosition &RequiredPosition, TimePoint Now);
  /// The member refused a statement for lack of capacity.
  void onBusy(TimePoint Now) { this->Concurrency.onRefused(Now); }
  void onAnswered(TimePoint Now);
  /// The member can't be reached, or left a question unanswered.
  void onUnanswered(TimePoint Now);
  /// Ends all links, also those in use, without calling anyone. For the end
  /// of the process.
  void dropAll();
  /// Closes idle links that are not needed.
  void closeExtraIdle(TimePoint Now);

  [[nodiscard]] const RegisteredMember &member() const { return this->Member; }
  [[nodiscard]] std::uint64_t linksOpened() const { return this->Opened; }
  /// Links open at present, idle ones included.
  [[nodiscard]] std::size_t linksHeld() const { return this->Open; }
  [[nodiscard]] std::size_t linksIdle() const { return this->Idle.size(); }
  [[nodiscard]] TimePoint backoffUntil() const { return this->BackoffUntil; }
  /// Since when the member owes an answer to everything asked of it; nothing
  /// if it owes none.
  [[nodiscard]] const std::optional<TimePoint> &silentSince() const {
    return this->SilentSince;
  }
  /// Whether the newest attempt to connect was refused.
  [[nodiscard]] bool refusesConnections() const {
    return this->RefusesConnections;
  }
  using ReportHandler =
      std::function<void(std::optional<MemberReport>, TimePoint SentAt)>;
  /// Asks the member for its status, on an idle link or a new one, unless
  /// such a question is under way. OnReport runs later, with nothing if no
  /// answer came or the member had no capacity for one.
  void queryStatus(ReportHandler OnReport);
  /// The same, and makes it a replica if it leads an earlier term.
  void stepDown(const Term &Newest, ReportHandler OnReport);
  /// Whether the member refused reads several times in a row for lack of
  /// entries, the last time lately.
  [[nodiscard]] bool lagsRepeatedly(TimePoint Now) const;
  [[nodiscard]] Duration typicalServiceTime() const {
    return this->ServiceTime;
  }

private:
  void sendQuery(const std::string &Bytes, ReportHandler OnReport);
  void onOpeningEnded(LinkOpening Result);
  void onRequestSent();
  void dropIdle();
  void onLinkClosed();

  boost::asio::any_io_executor Exec;
  RegisteredMember Member;
  MemberLinkPoolOptions Options;
  ConnectionAllowance Allowance;
  ConcurrencyLimit Concurrency;
  std::vector<std::shared_ptr<MemberLink>> Idle;
  /// Every link that may still be open.
  std::vector<std::weak_ptr<MemberLink>> All;
  /// Links idle, in use and being opened.
  std::size_t Open = 0;
  std::size_t Opening = 0;
  std::size_t InFlight = 0;
  std::uint64_t Opened = 0;
  TimePoint CreatedAt;
  Duration ServiceTime;
  std::optional<TermPosition> Reached;
  Duration LagBackoff{0};
  TimePoint LaggingUntil;
  TermPosition MissingPosition;
  TimePoint BackoffUntil;
  Duration Backoff{0};
  std::optional<TimePoint> SilentSince;
  TimePoint LastAnswerAt;
  std::size_t QueriesInFlight = 0;
  /// A question for the member's status is under way.
  bool StatusQueryRunning = false;
  bool RefusesConnections = false;
  BootClock Clock;
};

} // namespace turmericpitch
