// Instances and members in one process and virtual time, for scenarios of
// requests.
#pragma once

#include "core/EventQueue.h"
#include "routing/StatementFlow.h"
#include "stand_ins/MemberStandIn.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace turmericpitch {

/// One statement as a scenario asks for it.
struct HarnessStatement {
  std::string Name;
  std::string Instance;
  /// Statements of one session hand the token on; empty for none.
  std::string Session;
  StatementRequest Request;
};

/// What became of a statement.
struct HarnessResult {
  std::optional<Outcome<StatementAnswer>> Answer;
  /// The member that ran the last attempt.
  UpstreamId ServedBy;
  /// Sends of the statement to members.
  std::size_t Attempts = 0;
  TimePoint BegunAt;
  TimePoint EndedAt;
};

/// One database of in-process members before several instances. Messages take
/// time, get lost and cross as told. Not thread-safe.
class RequestHarness {
public:
  explicit RequestHarness(EventQueue &Queue);

  /// Adds a member; the first one is the first primary.
  void addMember(const DatabaseMember &Member, Duration ApplyLag);
  /// Ends the setting-up: all instances learn the members.
  void start(const std::vector<std::string> &Instances);

  void run(const HarnessStatement &Statement);
  [[nodiscard]] const HarnessResult &result(const std::string &Name) const;
  [[nodiscard]] const std::map<std::string, HarnessResult> &results() const {
    return this->Results;
  }

  /// A stuck member keeps what it is sent and answers nothing.
  void setStuck(const UpstreamId &Member, bool Stuck);
  void setLag(const UpstreamId &Member, Duration Lag);
  void setReplicationCut(const UpstreamId &Member, bool Cut);
  /// Cuts or mends the link of an instance to a member.
  void setLinkCut(const std::string &Instance, const UpstreamId &Member,
                  bool Cut);
  /// The next answer that the member gives to a statement gets lost.
  void loseNextAnswer(const UpstreamId &Member);
  /// The next answer carries another request's id.
  void mislabelNextAnswer(const UpstreamId &Member);
  /// Seals, promotes and follows as a promoter does, over all members that
  /// aren't stuck and not among Unreached.
  void promote(const UpstreamId &Successor,
               const std::set<UpstreamId> &Unreached);

  /// What reads at the member see of a key.
  std::string valueAt(const UpstreamId &Member, const std::string &Key);

  using OnAnswer = std::function<void(const Outcome<MemberAnswer> &)>;
  using OnConfirmed = std::function<void(bool)>;
  /// Sends a request on a connection and tells the instance's view of the
  /// answer before it calls Done.
  void exchange(const std::string &Instance, const UpstreamId &Member,
                ConnectionId Connection, const MemberRequest &Request,
                Duration Timeout, OnAnswer Done);
  void confirm(const std::string &Instance, const ConfirmWrite &Wanted,
               TimePoint GiveUpAt, OnConfirmed Done);
  MemberStandIn &member(const UpstreamId &Id);
  /// The database's view at an instance, and its id.
  SharedDatabaseView view(const std::string &Instance) const;
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
