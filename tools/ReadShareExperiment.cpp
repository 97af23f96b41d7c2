// Measures the share of reads that replicas serve and the latency of reads, by
// routing policy. Seeded, in virtual time. Sessions read their own writes.
#include "core/EventQueue.h"
#include "routing/StatementFlow.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration RunLength = seconds(20);
constexpr Duration WarmUp = seconds(2);
constexpr Duration ProbeInterval = milliseconds(100);
constexpr Duration ServiceTime = std::chrono::microseconds(500);
constexpr Duration ReadInterval = std::chrono::microseconds(2500);
constexpr Duration ReadTimeout = seconds(5);
constexpr double WriteShare = 0.1;
constexpr std::size_t Sessions = 50;
constexpr Term OnlyTerm{1};
const DatabaseId TargetDatabase{"orders"};

enum class Policy { PrimaryOnly, RoundRobin, Router };

struct TenantProfile {
  const char *Name;
  std::uint32_t Slots;
  Duration OneWayDelay;
};

struct Condition {
  const char *Name;
  Duration Lag{0};
  bool OneReplicaUnresponsive = false;
  /// Whether one session issues as many writes as all sessions together issue
  /// reads.
  bool HotSession = false;
};

/// A simulated member: reads see the log with the replication lag, and each
/// slot serves one statement at a time.
struct SimulatedMember {
  DatabaseMember Configured;
  bool Unresponsive = false;
  std::vector<TimePoint> SlotFreeAt;

  TimePoint serve(TimePoint Arrived) {
    auto Slot =
        std::min_element(this->SlotFreeAt.begin(), this->SlotFreeAt.end());
    *Slot = std::max(*Slot, Arrived) + ServiceTime;
    return *Slot;
  }
};

struct ReadStatistics {
  std::uint64_t Reads = 0;
  std::uint64_t ServedByReplicas = 0;
  std::uint64_t Failed = 0;
  std::vector<Duration> Latencies;

  [[nodiscard]] double quantile(double Share) {
    if (this->Latencies.empty())
      return 0;
    std::sort(this->Latencies.begin(), this->Latencies.end());
    auto Index = static_cast<std::size_t>(
        Share * static_cast<double>(this->Latencies.size() - 1));
    return static_cast<double>(this->Latencies[Index].count()) / 1000;
  }
};

/// One run with one database, one instance, one policy and one condition.
class Simulation {
public:
  Simulation(const TenantProfile &Profile, const Condition &Scenario,
             Policy RoutingPolicy)
      : Profile(Profile), Scenario(Scenario), RoutingPolicy(RoutingPolicy),
        Random(20261203), SessionTokens(Sessions) {
    Database Configured;
    Configured.Id = TargetDatabase;
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index) {
      SimulatedMember &Member = this->Members[Index];
      Member.Configured.Id = UpstreamId{"m" + std::to_string(Index)};
      Member.Configured.Zone = ZoneId{"zone-" + std::to_string(Index)};
      Member.Unresponsive = Scenario.OneReplicaUnresponsive && Index == 1;
      Member.SlotFreeAt.resize(Profile.Slots);
      Configured.Members.push_back(Member.Configured);
    }
    this->Upstreams.onConfigured(Configured);
    // The instance is in the zone of the second member.
    this->Options.Zone = ZoneId{"zone-1"};
  }

  ReadStatistics run() {
    this->probe();
    this->write(0);
    this->read(0);
    this->Queue.runUntil(TimePoint(RunLength));
    return this->Result;
  }

private:
  struct ReadState {
    ReadState(RequestContext Context, const RoutingOptions &Options,
              std::uint64_t Seed)
        : Flow(std::move(Context), Options, Seed) {}
    StatementFlow Flow;
    std::size_t Session = 0;
    TimePoint BegunAt;
  };
  using SharedReadState = std::shared_ptr<ReadState>;

  /// Returns the last log position that reads at the member see.
  LogPosition applied(std::size_t Member) const {
    TimePoint Until =
        this->Queue.now() - (Member == 0 ? Duration{0} : this->Scenario.Lag);
    auto After =
        std::upper_bound(this->WrittenAt.begin(), this->WrittenAt.end(), Until);
    return LogPosition{
        static_cast<std::uint64_t>(After - this->WrittenAt.begin())};
  }

  MemberStatus status(std::size_t Member) const {
    MemberStatus Status;
    Status.Id = this->Members[Member].Configured.Id;
    Status.Role = Member == 0 ? MemberRole::Primary : MemberRole::Replica;
    Status.AcceptedTerm = OnlyTerm;
    Status.History = TermHistory(
        {{.NewTerm = OnlyTerm, .PrecedingPosition = LogPosition{0}}});
    Status.AppliedPosition = this->applied(Member);
    Status.LastEntry = Status.History.entryAt(Status.AppliedPosition);
    return Status;
  }

  void probe() {
    TimePoint SentAt = this->Queue.now();
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index) {
      const UpstreamId &Id = this->Members[Index].Configured.Id;
      if (this->Members[Index].Unresponsive) {
        this->Upstreams.onFailure(TargetDatabase, Id, SentAt);
        continue;
      }
      this->Queue.scheduleAfter(this->Profile.OneWayDelay, [this, Index,
                                                            SentAt] {
        MemberStatus ReportedStatus = this->status(Index);
        this->Queue.scheduleAfter(
            this->Profile.OneWayDelay, [this, ReportedStatus, SentAt] {
              this->Upstreams.onStatus(TargetDatabase, ReportedStatus, SentAt);
            });
      });
    }
    this->Queue.scheduleAfter(ProbeInterval, [this] { this->probe(); });
  }

  /// Sends a write to the primary. Only its effect on the log and on the
  /// session's token is simulated.
  void write(std::size_t Session) {
    this->Queue.scheduleAfter(this->Profile.OneWayDelay, [this, Session] {
      TimePoint SentAt = this->Queue.now() - this->Profile.OneWayDelay;
      TimePoint ServedAt = this->Members[0].serve(this->Queue.now());
      this->Queue.scheduleAt(ServedAt, [this, Session, SentAt] {
        this->WrittenAt.push_back(this->Queue.now());
        MemberStatus ReportedStatus = this->status(0);
        this->Queue.scheduleAfter(
            this->Profile.OneWayDelay, [this, Session, ReportedStatus, SentAt] {
              this->Upstreams.onStatus(TargetDatabase, ReportedStatus, SentAt);
              this->SessionTokens[Session] =
                  this->SessionTokens[Session].advanced(
                      TargetDatabase, ReportedStatus.LastEntry);
            });
      });
    });
    std::size_t Next =
        this->Scenario.HotSession
            ? 0
            : this->Random.nextBelow(static_cast<std::uint32_t>(Sessions));
    double Share = this->Scenario.HotSession ? 1 : WriteShare;
    auto WriteInterval = Duration(static_cast<Duration::rep>(
        static_cast<double>(ReadInterval.count()) / Share));
    this->Queue.scheduleAfter(WriteInterval,
                              [this, Next] { this->write(Next); });
  }

  void read(std::size_t Session) {
    RequestContext Context;
    Context.Request.Id = RequestId{"read"};
    Context.Request.Target = TargetDatabase;
    Context.ArrivedAt = this->Queue.now();
    Context.Deadline = Context.ArrivedAt + ReadTimeout;
    Context.Token = this->SessionTokens[Session];
    Context.View = this->Upstreams.view(TargetDatabase);
    auto Read = std::make_shared<ReadState>(std::move(Context), this->Options,
                                            ++this->NextSeed);
    Read->Session = Session;
    Read->BegunAt = this->Queue.now();
    if (this->RoutingPolicy == Policy::Router)
      this->perform(Read, Read->Flow.begin(this->Queue.now()));
    else
      this->readWithBaseline(Read);
    std::size_t Next =
        this->Scenario.HotSession && this->Random.chance(0.5)
            ? 0
            : this->Random.nextBelow(static_cast<std::uint32_t>(Sessions));
    this->Queue.scheduleAfter(ReadInterval, [this, Next] { this->read(Next); });
  }

  void perform(const SharedReadState &Read, StatementAction Action) {
    if (auto *Finished = std::get_if<FinishStatement>(&Action))
      return this->finish(Read, Finished->Answer.hasValue(),
                          Finished->Answer &&
                              Finished->Answer.value().ServedBy ==
                                  MemberRole::Replica);
    if (auto *Wait = std::get_if<AwaitView>(&Action)) {
      this->Queue.scheduleAfter(Wait->Timeout, [this, Read] {
        this->perform(Read,
                      Read->Flow.onView(this->Upstreams.view(TargetDatabase),
                                        this->Queue.now()));
      });
      return;
    }
    const auto &Run = std::get<RunAtMember>(Action);
    std::size_t Index = this->indexOf(Run.Where.Target);
    auto OnAnswer = [this, Read, Index](const Outcome<MemberAnswer> &Answer,
                                        TimePoint SentAt) {
      if (Answer)
        this->Upstreams.onStatus(TargetDatabase, Answer.value().Status, SentAt);
      else if (Answer.error().Kind != ErrorKind::NotRun)
        this->Upstreams.onFailure(TargetDatabase,
                                  this->Members[Index].Configured.Id,
                                  this->Queue.now());
      this->perform(Read, Read->Flow.onMemberOutcome(
                              Answer, this->Upstreams.view(TargetDatabase),
                              this->Queue.now()));
    };
    this->send(Index, Run.Request.MinPosition, Run.WaitTimeout, Run.Timeout,
               OnAnswer);
  }

  template <typename Callable>
  void send(std::size_t Index, TermPosition MinPosition, Duration WaitTimeout,
            Duration Timeout, Callable OnAnswer) {
    TimePoint SentAt = this->Queue.now();
    if (this->Members[Index].Unresponsive) {
      this->Queue.scheduleAfter(Timeout, [OnAnswer, SentAt] {
        OnAnswer(Error{.Kind = ErrorKind::OutcomeUnknown,
                       .Message = "no answer",
                       .Remedy = "read at another member"},
                 SentAt);
      });
      return;
    }
    this->Queue.scheduleAfter(this->Profile.OneWayDelay, [=, this] {
      this->arrive(Index, MinPosition, this->Queue.now() + WaitTimeout, SentAt,
                   OnAnswer);
    });
  }

  /// Waits at the member until it has applied the entry, then runs the read, or
  /// refuses it once the wait has timed out.
  template <typename Callable>
  void arrive(std::size_t Index, TermPosition MinPosition,
              TimePoint WaitDeadline, TimePoint SentAt, Callable OnAnswer) {
    bool HasApplied = this->applied(Index) >= MinPosition.Position;
    if (!HasApplied && this->Queue.now() < WaitDeadline) {
      this->Queue.scheduleAfter(milliseconds(1), [=, this] {
        this->arrive(Index, MinPosition, WaitDeadline, SentAt, OnAnswer);
      });
      return;
    }
    TimePoint Served = HasApplied
                           ? this->Members[Index].serve(this->Queue.now())
                           : this->Queue.now();
    this->Queue.scheduleAt(Served + this->Profile.OneWayDelay, [=, this] {
      if (!HasApplied) {
        OnAnswer(Error{.Kind = ErrorKind::NotRun,
                       .Message = "entry not yet applied",
                       .Remedy = "read at another member"},
                 SentAt);
        return;
      }
      MemberAnswer Answer;
      Answer.Status = this->status(Index);
      OnAnswer(Answer, SentAt);
    });
  }

  /// Baseline policies: they use no view of the members, and a member refuses a
  /// read for which it lacks entries.
  void readWithBaseline(const SharedReadState &Read) {
    std::size_t Index = 0;
    if (this->RoutingPolicy == Policy::RoundRobin)
      Index = 1 + this->NextReplica++ % (this->Members.size() - 1);
    TermPosition MinPosition =
        this->SessionTokens[Read->Session].position(TargetDatabase);
    auto OnAnswer = [this, Read, Index, MinPosition](
                        const Outcome<MemberAnswer> &Answer, TimePoint) {
      if (Answer || Index == 0)
        return this->finish(Read, Answer.hasValue(), Index != 0);
      auto AtPrimary = [this, Read](const Outcome<MemberAnswer> &Last,
                                    TimePoint) {
        this->finish(Read, Last.hasValue(), false);
      };
      this->send(0, MinPosition, Duration{0}, ReadTimeout, AtPrimary);
    };
    this->send(Index, MinPosition, Duration{0}, this->Options.AttemptTimeout,
               OnAnswer);
  }

  void finish(const SharedReadState &Read, bool Answered, bool AtReplica) {
    if (Read->BegunAt < TimePoint(WarmUp))
      return;
    ++this->Result.Reads;
    this->Result.ServedByReplicas += AtReplica ? 1 : 0;
    this->Result.Failed += Answered ? 0 : 1;
    this->Result.Latencies.push_back(this->Queue.now() - Read->BegunAt);
  }

  std::size_t indexOf(const UpstreamId &Id) const {
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index)
      if (this->Members[Index].Configured.Id == Id)
        return Index;
    return 0;
  }

  TenantProfile Profile;
  Condition Scenario;
  Policy RoutingPolicy;
  RandomSource Random;
  EventQueue Queue;
  UpstreamController Upstreams;
  RoutingOptions Options;
  std::array<SimulatedMember, 3> Members;
  std::vector<TimePoint> WrittenAt;
  std::vector<SessionToken> SessionTokens;
  std::size_t NextReplica = 0;
  std::uint64_t NextSeed = 0;
  ReadStatistics Result;
};

void printRow(const TenantProfile &Profile, const Condition &Scenario,
              Policy RoutingPolicy, const char *Name) {
  ReadStatistics Result = Simulation(Profile, Scenario, RoutingPolicy).run();
  double Share = 100.0 * static_cast<double>(Result.ServedByReplicas) /
                 static_cast<double>(std::max<std::uint64_t>(1, Result.Reads));
  std::printf("| %s | %s | %s | %llu | %.1f | %.1f | %.1f | %llu |\n",
              Profile.Name, Scenario.Name, Name,
              static_cast<unsigned long long>(Result.Reads), Share,
              Result.quantile(0.5), Result.quantile(0.99),
              static_cast<unsigned long long>(Result.Failed));
}

} // namespace

} // namespace turmericpitch

int main() {
  using namespace turmericpitch;
  const std::array<TenantProfile, 2> Tenants{
      TenantProfile{.Name = "Sabarmati",
                    .Slots = 3,
                    .OneWayDelay = std::chrono::microseconds(1500)},
      TenantProfile{
          .Name = "Chechia", .Slots = 5, .OneWayDelay = milliseconds(1)}};
  const std::array<Condition, 5> Conditions{
      Condition{.Name = "lag 0"},
      Condition{.Name = "lag 50 ms", .Lag = milliseconds(50)},
      Condition{.Name = "lag 1 s", .Lag = seconds(1)},
      Condition{.Name = "one replica unresponsive",
                .OneReplicaUnresponsive = true},
      Condition{.Name = "hot session, lag 50 ms",
                .Lag = milliseconds(50),
                .HotSession = true}};
  std::puts("| tenant | condition | policy | reads | served by replicas, % | "
            "p50 ms | "
            "p99 ms | failed |");
  std::puts("|---|---|---|---|---|---|---|---|");
  for (const TenantProfile &Profile : Tenants)
    for (const Condition &Scenario : Conditions) {
      printRow(Profile, Scenario, Policy::PrimaryOnly, "primary only");
      printRow(Profile, Scenario, Policy::RoundRobin, "round robin");
      printRow(Profile, Scenario, Policy::Router, "router");
    }
}
