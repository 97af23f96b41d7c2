// Simulates instances and members in one process and in virtual time, for
// request scenarios.
#pragma once

#include "core/EventQueue.h"
#include "routing/StatementFlow.h"
#include "stand_ins/MemberStandIn.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace turmericpitch {

/// A statement of a scenario.
struct HarnessStatement {
  std::string Name;
  std::string Instance;
  /// Statements of one session pass the session token on; empty for no session.
  std::string Session;
  StatementRequest Request;
};

/// Result of a statement.
struct HarnessResult {
  std::optional<Outcome<StatementAnswer>> Answer;
  /// The member that ran the last attempt.
  UpstreamId ServedBy;
  /// Number of times the statement was sent to a member.
  std::size_t Attempts = 0;
  TimePoint BegunAt;
  TimePoint EndedAt;
};

/// One database of in-process members, used by several instances. Messages take
/// time, and can be lost or mislabelled on request. Not thread-safe.
class RequestHarness {
public:
  explicit RequestHarness(EventQueue &Queue);

  /// Adds a member. The first member added is the initial primary.
  void addMember(const DatabaseMember &Member, Duration ApplyLag);
  /// Ends the setup: configures all instances with the members and starts
  /// probing and replication.
  void start(const std::vector<std::string> &Instances);

  void run(const HarnessStatement &Statement);
  [[nodiscard]] const HarnessResult &result(const std::string &Name) const;
  [[nodiscard]] const std::map<std::string, HarnessResult> &results() const {
    return this->Results;
  }

  /// Makes a member accept requests without answering.
  void setStuck(const UpstreamId &Member, bool Stuck);
  void setLag(const UpstreamId &Member, Duration Lag);
  void setReplicationCut(const UpstreamId &Member, bool Cut);
  /// Cuts or restores the link from an instance to a member.
  void setLinkCut(const std::string &Instance, const UpstreamId &Member,
                  bool Cut);
  /// Drops the member's next answer.
  void loseNextAnswer(const UpstreamId &Member);
  /// Replaces the request id in the member's next answer by another one.
  void mislabelNextAnswer(const UpstreamId &Member);
  /// Promotes Successor in the steps of a failover: fences all members that are
  /// neither stuck nor in Unreached, promotes Successor, and makes the others
  /// follow it.
  void promote(const UpstreamId &Successor,
               const std::set<UpstreamId> &Unreached);

  /// The value of a key as read at the member; empty if it has none.
  std::string valueAt(const UpstreamId &Member, const std::string &Key);

  using OnAnswer = std::function<void(const Outcome<MemberAnswer> &)>;
  using OnConfirmed = std::function<void(bool)>;
  /// Sends a request on a connection. Updates the instance's view with the
  /// answer before calling Done.
  void exchange(const std::string &Instance, const UpstreamId &Member,
                ConnectionId Connection, const MemberRequest &Request,
                Duration Timeout, OnAnswer Done);
  /// Asks the replicas for the confirmation of a write until enough of them
  /// hold it, it can no longer succeed, or GiveUpAt is reached.
  void confirm(const std::string &Instance, const ConfirmWrite &Wanted,
               TimePoint GiveUpAt, OnConfirmed Done);
  MemberStandIn &member(const UpstreamId &Id);
  /// The instance's view of the database.
  SharedDatabaseView view(const std::string &Instance) const;
  /// The id of the database.
  static const DatabaseId &database();
  EventQueue &queue() { return this->Queue; }
  SessionToken &session(const std::string &Name) {
    return this->Sessions[Name];
  }

private:
  struct Member {
    explicit Member(MemberOptions Options) : Database(std::move(Options)) {}
    DatabaseMember Configured;
    MemberStandIn Database;
    ConnectionId Connection;
    bool Stuck = false;
    bool ReplicationCut = false;
    bool LoseNext = false;
    bool MislabelNext = false;
  };
  struct Instance {
    UpstreamController Upstreams;
    std::set<UpstreamId> Unreachable;
  };
  struct RunningStatement;
  using SharedStatement = std::shared_ptr<RunningStatement>;

  void probeForever(const std::string &Name);
  void replicateForever();
  void perform(const SharedStatement &Running, StatementAction Action);
  void runAtMember(const SharedStatement &Running, const RunAtMember &Wanted);
  void executeAt(const SharedStatement &Running, const RunAtMember &Wanted,
                 TimePoint GiveUpAt);
  void finish(const SharedStatement &Running, const FinishStatement &Finished);
  bool reaches(const Instance &From, const UpstreamId &To) const;

  EventQueue &Queue;
  std::map<UpstreamId, Member> Members;
  std::vector<UpstreamId> Order;
  std::map<std::string, Instance> Instances;
  std::map<std::string, SessionToken> Sessions;
  std::map<std::string, HarnessResult> Results;
  std::uint64_t NextRequest = 1;
  Term NewestTerm{1};
};

} // namespace turmericpitch
