// Share of reads that replicas serve and what reads cost, by routing policy.
// Seeded, in virtual time; sessions read what they have written.
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

constexpr Duration RunFor = seconds(20);
constexpr Duration WarmUp = seconds(2);
constexpr Duration ProbeInterval = milliseconds(100);
constexpr Duration ServiceTime = std::chrono::microseconds(500);
constexpr Duration ReadEvery = std::chrono::microseconds(2500);
constexpr Duration Patience = seconds(5);
constexpr double WriteShare = 0.1;
constexpr std::size_t Sessions = 50;
constexpr Term OnlyTerm{1};
const DatabaseId Orders{"orders"};

enum class Policy { PrimaryOnly, RoundRobin, Router };

struct Tenant {
  const char *Name;
  std::uint32_t Slots;
  Duration OneWay;
};

struct Condition {
  const char *Name;
  Duration Lag{0};
  bool OneStuck = false;
  /// One session writes as often as all others together read.
  bool HotSession = false;
};

/// A member as its reads see it: a log that grows, shown after the lag, and
/// slots that serve one statement each.
struct SimulatedMember {
  DatabaseMember Configured;
  bool Stuck = false;
  std::vector<TimePoint> SlotFreeAt;

  TimePoint serve(TimePoint Arrived) {
    auto Slot =
        std::min_element(this->SlotFreeAt.begin(), this->SlotFreeAt.end());
    *Slot = std::max(*Slot, Arrived) + ServiceTime;
    return *Slot;
  }
};

struct Tally {
  std::uint64_t Reads = 0;
  std::uint64_t AtReplicas = 0;
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

/// One run: one database, one instance, one policy, one condition.
class Simulation {
public:
  Simulation(const Tenant &Of, const Condition &Under, Policy By)
      : Of(Of), Under(Under), By(By), Random(20261203), Seen(Sessions) {
    Database Configured;
    Configured.Id = Orders;
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index) {
      SimulatedMember &Member = this->Members[Index];
      Member.Configured.Id = UpstreamId{"m" + std::to_string(Index)};
      Member.Configured.Zone = ZoneId{"zone-" + std::to_string(Index)};
      Member.Stuck = Under.OneStuck && Index == 1;
      Member.SlotFreeAt.resize(Of.Slots);
      Configured.Members.push_back(Member.Configured);
    }
    this->Upstreams.onConfigured(Configured);
    // The instance stands in the zone of the second member.
    this->Options.Zone = ZoneId{"zone-1"};
  }

  Tally run() {
    this->probe();
    this->write(0);
    this->read(0);
    this->Queue.runUntil(TimePoint(RunFor));
    return this->Result;
  }

private:
  struct Reading {
    Reading(RequestContext Context, const RoutingOptions &Options,
            std::uint64_t Seed)
        : Flow(std::move(Context), Options, Seed) {}
    StatementFlow Flow;
    std::size_t Session = 0;
    TimePoint BegunAt;
  };
  using SharedReading = std::shared_ptr<Reading>;

  /// The last entry that a member's reads see.
  LogPosition applied(std::size_t Member) const {
    TimePoint Until =
        this->Queue.now() - (Member == 0 ? Duration{0} : this->Under.Lag);
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
    TimePoint AskedAt = this->Queue.now();
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index) {
      const UpstreamId &Id = this->Members[Index].Configured.Id;
      if (this->Members[Index].Stuck) {
        this->Upstreams.onFailure(Orders, Id, AskedAt);
        continue;
      }
      this->Queue.scheduleAfter(this->Of.OneWay, [this, Index, AskedAt] {
        MemberStatus Known = this->status(Index);
        this->Queue.scheduleAfter(this->Of.OneWay, [this, Known, AskedAt] {
          this->Upstreams.onStatus(Orders, Known, AskedAt);
        });
      });
    }
    this->Queue.scheduleAfter(ProbeInterval, [this] { this->probe(); });
  }

  /// Writes take their way to the primary; only what they leave in the log
  /// and in the session's token matters here.
  void write(std::size_t Session) {
    this->Queue.scheduleAfter(this->Of.OneWay, [this, Session] {
      TimePoint AskedAt = this->Queue.now() - this->Of.OneWay;
      TimePoint Done = this->Members[0].serve(this->Queue.now());
      this->Queue.scheduleAt(Done, [this, Session, AskedAt] {
        this->WrittenAt.push_back(this->Queue.now());
        MemberStatus Known = this->status(0);
        this->Queue.scheduleAfter(
            this->Of.OneWay, [this, Session, Known, AskedAt] {
              this->Upstreams.onStatus(Orders, Known, AskedAt);
              this->Seen[Session] =
                  this->Seen[Session].advanced(Orders, Known.LastEntry);
            });
      });
    });
    std::size_t Next =
        this->Under.HotSession
            ? 0
            : this->Random.nextBelow(static_cast<std::uint32_t>(Sessions));
    double Share = this->Under.HotSession ? 1 : WriteShare;
    auto Pause = Duration(static_cast<Duration::rep>(
        static_cast<double>(ReadEvery.count()) / Share));
    this->Queue.scheduleAfter(Pause, [this, Next] { this->write(Next); });
  }

  void read(std::size_t Session) {
    RequestContext Context;
    Context.Request.Id = RequestId{"read"};
    Context.Request.Target = Orders;
    Context.ArrivedAt = this->Queue.now();
    Context.Deadline = Context.ArrivedAt + Patience;
    Context.Token = this->Seen[Session];
    Context.View = this->Upstreams.view(Orders);
    auto Running = std::make_shared<Reading>(std::move(Context), this->Options,
                                             ++this->NextSeed);
    Running->Session = Session;
    Running->BegunAt = this->Queue.now();
    if (this->By == Policy::Router)
      this->perform(Running, Running->Flow.begin(this->Queue.now()));
    else
      this->readNaively(Running);
    std::size_t Next =
        this->Under.HotSession && this->Random.chance(0.5)
            ? 0
            : this->Random.nextBelow(static_cast<std::uint32_t>(Sessions));
    this->Queue.scheduleAfter(ReadEvery, [this, Next] { this->read(Next); });
  }

  void perform(const SharedReading &Running, StatementAction Action) {
    if (auto *Finished = std::get_if<FinishStatement>(&Action))
      return this->finish(Running, Finished->Answer.hasValue(),
                          Finished->Answer &&
                              Finished->Answer.value().ServedBy ==
                                  MemberRole::Replica);
    if (auto *Wait = std::get_if<AwaitView>(&Action)) {
      this->Queue.scheduleAfter(Wait->Timeout, [this, Running] {
        this->perform(Running,
                      Running->Flow.onView(this->Upstreams.view(Orders),
                                           this->Queue.now()));
      });
      return;
    }
    const auto &Run = std::get<RunAtMember>(Action);
    std::size_t Index = this->indexOf(Run.Where.Target);
    auto Done = [this, Running, Index](const Outcome<MemberAnswer> &Answer,
                                       TimePoint AskedAt) {
      if (Answer)
        this->Upstreams.onStatus(Orders, Answer.value().Status, AskedAt);
      else if (Answer.error().Kind != ErrorKind::NotRun)
        this->Upstreams.onFailure(Orders, this->Members[Index].Configured.Id,
                                  this->Queue.now());
      this->perform(Running, Running->Flow.onMemberOutcome(
                                 Answer, this->Upstreams.view(Orders),
                                 this->Queue.now()));
    };
    this->send(Index, Run.Request.MinPosition, Run.WaitTimeout, Run.Timeout,
               Done);
  }

  template <typename Callable>
  void send(std::size_t Index, TermPosition MinPosition, Duration WaitTimeout,
            Duration Limit, Callable Done) {
    TimePoint AskedAt = this->Queue.now();
    if (this->Members[Index].Stuck) {
      this->Queue.scheduleAfter(Limit, [Done, AskedAt] {
        Done(Error{.Kind = ErrorKind::OutcomeUnknown,
                   .Message = "no answer",
                   .Remedy = "try another"},
             AskedAt);
      });
      return;
    }
    this->Queue.scheduleAfter(this->Of.OneWay, [=, this] {
      this->arrive(Index, MinPosition, this->Queue.now() + WaitTimeout, AskedAt,
                   Done);
    });
  }

  /// Waits at the member for the entry, then runs or refuses.
  template <typename Callable>
  void arrive(std::size_t Index, TermPosition MinPosition, TimePoint GiveUpAt,
              TimePoint AskedAt, Callable Done) {
    bool Holds = this->applied(Index) >= MinPosition.Position;
    if (!Holds && this->Queue.now() < GiveUpAt) {
      this->Queue.scheduleAfter(milliseconds(1), [=, this] {
        this->arrive(Index, MinPosition, GiveUpAt, AskedAt, Done);
      });
      return;
    }
    TimePoint Served = Holds ? this->Members[Index].serve(this->Queue.now())
                             : this->Queue.now();
    this->Queue.scheduleAt(Served + this->Of.OneWay, [=, this] {
      if (!Holds) {
        Done(Error{.Kind = ErrorKind::NotRun,
                   .Message = "not yet applied",
                   .Remedy = "read elsewhere"},
             AskedAt);
        return;
      }
      MemberAnswer Answer;
      Answer.Status = this->status(Index);
      Done(Answer, AskedAt);
    });
  }

  /// The baselines: no view, the member itself refuses what it lacks.
  void readNaively(const SharedReading &Running) {
    std::size_t Index = 0;
    if (this->By == Policy::RoundRobin)
      Index = 1 + this->NextTurn++ % (this->Members.size() - 1);
    TermPosition MinPosition = this->Seen[Running->Session].position(Orders);
    auto Done = [this, Running, Index,
                 MinPosition](const Outcome<MemberAnswer> &Answer, TimePoint) {
      if (Answer || Index == 0)
        return this->finish(Running, Answer.hasValue(), Index != 0);
      auto AtPrimary = [this, Running](const Outcome<MemberAnswer> &Last,
                                       TimePoint) {
        this->finish(Running, Last.hasValue(), false);
      };
      this->send(0, MinPosition, Duration{0}, Patience, AtPrimary);
    };
    this->send(Index, MinPosition, Duration{0}, this->Options.AttemptTimeout,
               Done);
  }

  void finish(const SharedReading &Running, bool Answered, bool AtReplica) {
    if (Running->BegunAt < TimePoint(WarmUp))
      return;
    ++this->Result.Reads;
    this->Result.AtReplicas += AtReplica ? 1 : 0;
    this->Result.Failed += Answered ? 0 : 1;
    this->Result.Latencies.push_back(this->Queue.now() - Running->BegunAt);
  }

  std::size_t indexOf(const UpstreamId &Id) const {
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index)
      if (this->Members[Index].Configured.Id == Id)
        return Index;
    return 0;
  }

  Tenant Of;
  Condition Under;
  Policy By;
  RandomSource Random;
  EventQueue Queue;
  UpstreamController Upstreams;
  RoutingOptions Options;
  std::array<SimulatedMember, 3> Members;
  std::vector<TimePoint> WrittenAt;
  std::vector<SessionToken> Seen;
  std::size_t NextTurn = 0;
  std::uint64_t NextSeed = 0;
  Tally Result;
};

void printRow(const Tenant &Of, const Condition &Under, Policy By,
              const char *Name) {
  Tally Result = Simulation(Of, Under, By).run();
  double Share = 100.0 * static_cast<double>(Result.AtReplicas) /
                 static_cast<double>(std::max<std::uint64_t>(1, Result.Reads));
  std::printf("| %s | %s | %s | %llu | %.1f | %.1f | %.1f | %llu |\n", Of.Name,
              Under.Name, Name, static_cast<unsigned long long>(Result.Reads),
              Share, Result.quantile(0.5), Result.quantile(0.99),
              static_cast<unsigned long long>(Result.Failed));
}

} // namespace

} // namespace turmericpitch

int main() {
  using namespace turmericpitch;
  const std::array<Tenant, 2> Tenants{
      Tenant{.Name = "Sabarmati",
             .Slots = 3,
             .OneWay = std::chrono::microseconds(1500)},
      Tenant{.Name = "Chechia", .Slots = 5, .OneWay = milliseconds(1)}};
  const std::array<Condition, 5> Conditions{
      Condition{.Name = "lag 0"},
      Condition{.Name = "lag 50 ms", .Lag = milliseconds(50)},
      Condition{.Name = "lag 1 s", .Lag = seconds(1)},
      Condition{.Name = "one replica stuck", .OneStuck = true},
      Condition{.Name = "hot session, lag 50 ms",
                .Lag = milliseconds(50),
                .HotSession = true}};
  std::puts("| tenant | condition | policy | reads | at replicas, % | p50 ms | "
            "p99 ms | failed |");
  std::puts("|---|---|---|---|---|---|---|---|");
  for (const Tenant &Of : Tenants)
    for (const Condition &Under : Conditions) {
      printRow(Of, Under, Policy::PrimaryOnly, "primary only");
      printRow(Of, Under, Policy::RoundRobin, "round robin");
      printRow(Of, Under, Policy::Router, "router");
    }
}
