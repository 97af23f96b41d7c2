// Measures how long writes are unavailable during a failover, over seeded runs
// in virtual time with the members of one database and its promoters. Prints
// one line for each configuration.
#include "core/EventQueue.h"
#include "core/RandomSource.h"
#include "failover/PrimaryFailureDetector.h"
#include "failover/PromotionCheck.h"
#include "routing/WriteConfirmation.h"
#include "stand_ins/MemberStandIn.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Runs = 200;
constexpr Duration ProbeInterval = milliseconds(100);
constexpr Duration ProbeTimeout = milliseconds(200);
constexpr Duration ReplicaPoll = milliseconds(50);
constexpr Duration WriteInterval = milliseconds(5);
constexpr Duration WarmUp = std::chrono::seconds(1);
constexpr Duration MaxRunTime = std::chrono::seconds(20);

struct TenantProfile {
  const char *Name;
  std::size_t Promoters;
  Duration OneWayDelay;
};

struct RunConfig {
  TenantProfile Profile;
  Duration SilenceTimeout{milliseconds(200)};
  /// How long the first primary does not answer. MaxRunTime means for the whole
  /// run.
  Duration OutageLength{MaxRunTime};
  /// Whether connections are refused, as after a crash. Otherwise requests get
  /// no answer.
  bool ConnectionsRefused = false;
  Duration ReplicationLag{0};
  /// Whether the promoter asks the members if they also lost the primary before
  /// it fences the old term.
  bool CheckBeforeFencing = true;
};

/// Time from when the primary stopped answering to each stage of one failover.
struct FailoverTimeline {
  std::optional<Duration> Detected;
  std::optional<Duration> Fenced;
  std::optional<Duration> Promoted;
  std::optional<Duration> Acknowledged;
  std::uint32_t Promotions = 0;
};

class FailoverRun {
public:
  FailoverRun(const RunConfig &Config, std::uint64_t Seed);
  FailoverTimeline run();

private:
  using AnswerHandler = std::function<void(const Outcome<MemberAnswer> &)>;

  struct Promoter {
    explicit Promoter(PrimaryFailureDetectorOptions Options)
        : Detector(Options) {}
    UpstreamController Upstreams;
    PrimaryFailureDetector Detector;
    std::unique_ptr<PromotionCheck> Check;
    std::unique_ptr<Promotion> Running;
    Term Newest;
  };

  void call(std::size_t Member, MemberRequest Request, AnswerHandler OnAnswer);
  void arrive(std::size_t Member, MemberRequest Request,
              AnswerHandler OnAnswer);
  void tick(std::size_t Index);
  void probe(std::size_t Index);
  void beginCheck(std::size_t Index);
  void beginPromotion(std::size_t Index);
  void send(std::size_t Index, std::vector<MemberCall> Calls);
  void replicate(std::size_t Member);
  void write();
  void confirm(const MemberAnswer &Answer, std::size_t Primary);
  void confirmAtMember(std::size_t Member, const ConfirmWrite &Required);
  [[nodiscard]] Duration randomDelay();
  [[nodiscard]] bool isSilent(std::size_t Member) const;
  [[nodiscard]] Duration elapsedSinceFault() const {
    return this->Queue.now() - this->FaultAt;
  }
  static std::size_t indexOf(const UpstreamId &Id) {
    return static_cast<std::size_t>(Id.Value[0] - 'a');
  }

  RunConfig Config;
  RandomSource Random;
  EventQueue Queue;
  Database Target;
  std::vector<MemberStandIn> Members;
  std::vector<std::unique_ptr<Promoter>> Promoters;
  TimePoint FaultAt;
  FailoverTimeline Result;
  std::uint64_t Attempts = 0;
};

FailoverRun::FailoverRun(const RunConfig &Config, std::uint64_t Seed)
    : Config(Config), Random(Seed) {
  this->Target.Id = DatabaseId{"bookings-" + std::to_string(Seed)};
  for (const char *Name : {"a", "b", "c"}) {
    DatabaseMember Member;
    Member.Id = UpstreamId{Name};
    this->Target.Members.push_back(Member);
    MemberOptions Options;
    Options.Id = Member.Id;
    this->Members.emplace_back(Options);
    this->Members.back().bootstrap(UpstreamId{"a"});
  }
  PrimaryFailureDetectorOptions Options;
  Options.SilenceTimeout = Config.SilenceTimeout;
  for (std::size_t Index = 0; Index < Config.Profile.Promoters; ++Index) {
    this->Promoters.push_back(std::make_unique<Promoter>(Options));
    this->Promoters.back()->Upstreams.onConfigured(this->Target);
  }
  this->FaultAt = TimePoint(WarmUp) +
                  Duration(this->Random.nextBelow(
                      static_cast<std::uint32_t>(ProbeInterval.count())));
}

/// Returns a one-way delay with random jitter of up to half the delay.
Duration FailoverRun::randomDelay() {
  auto Spread =
      static_cast<std::uint32_t>(this->Config.Profile.OneWayDelay.count() / 2);
  return this->Config.Profile.OneWayDelay +
         Duration(this->Random.nextBelow(Spread + 1));
}

bool FailoverRun::isSilent(std::size_t Member) const {
  TimePoint Now = this->Queue.now();
  return Member == 0 && Now >= this->FaultAt &&
         Now < this->FaultAt + this->Config.OutageLength;
}

void FailoverRun::call(std::size_t Member, MemberRequest Request,
                       AnswerHandler OnAnswer) {
  this->Queue.scheduleAfter(this->randomDelay(),
                            [this, Member, Request, OnAnswer] {
                              this->arrive(Member, Request, OnAnswer);
                            });
}

void FailoverRun::arrive(std::size_t Member, MemberRequest Request,
                         AnswerHandler OnAnswer) {
  Error Unreachable{
      .Kind = ErrorKind::Unavailable, .Message = "", .Remedy = ""};
  if (this->isSilent(Member)) {
    Duration ReplyDelay =
        this->Config.ConnectionsRefused ? this->randomDelay() : ProbeTimeout;
    this->Queue.scheduleAfter(
        ReplyDelay, [OnAnswer, Unreachable] { OnAnswer(Unreachable); });
    return;
  }
  auto Answer =
      this->Members[Member].handle(ConnectionId{}, Request, this->Queue.now());
  bool IsPromote = std::holds_alternative<PromoteRequest>(Request);
  if (Answer && IsPromote && !this->Result.Promoted)
    this->Result.Promoted = this->elapsedSinceFault();
  this->Queue.scheduleAfter(this->randomDelay(),
                            [OnAnswer, Answer] { OnAnswer(Answer); });
}

void FailoverRun::probe(std::size_t Index) {
  for (std::size_t Member = 0; Member < this->Members.size(); ++Member) {
    TimePoint SentAt = this->Queue.now();
    this->call(Member, StatusRequest{},
               [this, Index, Member, SentAt](const auto &Answer) {
                 auto &Upstreams = this->Promoters[Index]->Upstreams;
                 if (Answer)
                   Upstreams.onStatus(this->Target.Id, Answer.value().Status,
                                      SentAt);
                 else
                   Upstreams.onFailure(this->Target.Id,
                                       this->Target.Members[Member].Id,
                                       this->Queue.now());
               });
  }
}

void FailoverRun::tick(std::size_t Index) {
  Promoter &Self = *this->Promoters[Index];
  SharedDatabaseView View = Self.Upstreams.view(this->Target.Id);
  if (Self.Detector.evaluate(*View, Index, this->Queue.now()) ==
      PrimaryDecision::Promote) {
    Self.Newest = View->newestTerm();
    if (this->Config.CheckBeforeFencing)
      this->beginCheck(Index);
    else
      this->beginPromotion(Index);
  }
  this->probe(Index);
  this->Queue.scheduleAfter(ProbeInterval,
                            [this, Index] { this->tick(Index); });
}

void FailoverRun::beginCheck(std::size_t Index) {
  Promoter &Self = *this->Promoters[Index];
  PromotionCheckOptions Options;
  Options.Newest = Self.Newest;
  Self.Check = std::make_unique<PromotionCheck>(this->Target, Options);
  PromotionCheck *Current = Self.Check.get();
  for (const MemberCall &Call : Self.Check->begin())
    this->call(indexOf(Call.Target), Call.Request,
               [this, Index, Current, From = Call.Target](const auto &Answer) {
                 Promoter &Owner = *this->Promoters[Index];
                 if (Owner.Check.get() != Current || Current->over())
                   return;
                 Current->onOutcome(From, Answer);
                 if (Current->decision() == PromotionCheckDecision::Proceed)
                   this->beginPromotion(Index);
               });
}

void FailoverRun::beginPromotion(std::size_t Index) {
  Promoter &Self = *this->Promoters[Index];
  ++this->Result.Promotions;
  if (!this->Result.Detected)
    this->Result.Detected = this->elapsedSinceFault();
  Self.Running =
      std::make_unique<Promotion>(this->Target, Term{Self.Newest.Value + 1},
                                  std::to_string(++this->Attempts));
  this->send(Index, Self.Running->begin());
}

void FailoverRun::send(std::size_t Index, std::vector<MemberCall> Calls) {
  Promotion *Current = this->Promoters[Index]->Running.get();
  for (const MemberCall &Call : Calls) {
    bool IsPromote = std::holds_alternative<PromoteRequest>(Call.Request);
    if (IsPromote && !this->Result.Fenced)
      this->Result.Fenced = this->elapsedSinceFault();
    this->call(indexOf(Call.Target), Call.Request,
               [this, Index, Current, From = Call.Target](const auto &Answer) {
                 if (this->Promoters[Index]->Running.get() == Current)
                   this->send(Index, Current->onOutcome(From, Answer));
               });
  }
}

void FailoverRun::replicate(std::size_t Member) {
  auto Request = this->Members[Member].replicationRequest();
  Duration Next = ReplicaPoll;
  if (Request && !this->isSilent(Member)) {
    std::size_t Primary = indexOf(Request->Primary);
    auto Batch = this->Members[Primary].replicate(*Request);
    if (Batch && !this->isSilent(Primary)) {
      // A long poll returns as soon as there are new entries.
      Next = WriteInterval;
      Duration ReplicationDelay =
          this->randomDelay() + this->Config.ReplicationLag;
      this->Queue.scheduleAfter(
          ReplicationDelay, [this, Member, Entries = Batch.value()] {
            this->Members[Member].onReplicated(Entries, this->Queue.now());
          });
    }
  }
  this->Queue.scheduleAfter(std::min(Next, Duration(milliseconds(20))),
                            [this, Member] { this->replicate(Member); });
}

void FailoverRun::write() {
  std::size_t Primary = this->Members.size();
  Term Newest;
  for (std::size_t Member = 0; Member < this->Members.size(); ++Member) {
    MemberStatus Status = this->Members[Member].lastStatus();
    if (Status.Role != MemberRole::Primary || Status.AcceptedTerm < Newest ||
        this->isSilent(Member))
      continue;
    Primary = Member;
    Newest = Status.AcceptedTerm;
  }
  if (Primary < this->Members.size()) {
    ExecuteRequest Write;
    Write.Statement = "put booking 1";
    Write.Write = true;
    Write.ExpectedTerm = Newest;
    this->call(Primary, Write, [this, Primary](const auto &Answer) {
      if (Answer)
        this->confirm(Answer.value(), Primary);
    });
  }
  this->Queue.scheduleAfter(WriteInterval, [this] { this->write(); });
}

void FailoverRun::confirm(const MemberAnswer &Answer, std::size_t Primary) {
  SharedDatabaseView View =
      this->Promoters.front()->Upstreams.view(this->Target.Id);
  // Only writes of a later term mark the end of the failover.
  if (Answer.Status.AcceptedTerm == Term{1})
    return;
  ConfirmWrite Required = requiredConfirmation(
      Answer, this->Target.Members[Primary].Id, *View, milliseconds(100));
  for (const DatabaseMember &Replica : Required.Replicas)
    this->confirmAtMember(indexOf(Replica.Id), Required);
}

void FailoverRun::confirmAtMember(std::size_t Member,
                                  const ConfirmWrite &Required) {
  this->call(
      Member, StatusRequest{}, [this, Member, Required](const auto &Answer) {
        if (this->Result.Acknowledged)
          return;
        if (Answer && confirms(Required, Answer.value().Status))
          this->Result.Acknowledged = this->elapsedSinceFault();
        else
          this->Queue.scheduleAfter(WriteInterval, [this, Member, Required] {
            this->confirmAtMember(Member, Required);
          });
      });
}

FailoverTimeline FailoverRun::run() {
  for (std::size_t Index = 0; Index < this->Promoters.size(); ++Index)
    this->Queue.scheduleAfter(
        Duration(this->Random.nextBelow(
            static_cast<std::uint32_t>(ProbeInterval.count()))),
        [this, Index] { this->tick(Index); });
  for (std::size_t Member = 0; Member < this->Members.size(); ++Member)
    this->replicate(Member);
  // Writes start shortly before the fault, because earlier ones don't affect
  // the result.
  this->Queue.scheduleAt(this->FaultAt - milliseconds(50),
                         [this] { this->write(); });
  TimePoint RunUntil = this->FaultAt +
                       std::min(this->Config.OutageLength, MaxRunTime) +
                       std::chrono::seconds(1);
  while (this->Queue.now() < RunUntil && !this->Result.Acknowledged)
    this->Queue.runNext();
  return this->Result;
}

double millisecondsOf(Duration Length) {
  constexpr double PerMillisecond = 1000.0;
  return static_cast<double>(Length.count()) / PerMillisecond;
}

Duration quantile(std::vector<Duration> &Sorted, double Share) {
  std::sort(Sorted.begin(), Sorted.end());
  auto Place =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Place];
}

void printStage(const char *Name, std::vector<Duration> &Values) {
  constexpr double Median = 0.5;
  constexpr double NinetyNine = 0.99;
  if (Values.empty())
    return;
  std::printf(" %s %.0f/%.0f/%.0f/%.0f", Name,
              millisecondsOf(quantile(Values, 0.0)),
              millisecondsOf(quantile(Values, Median)),
              millisecondsOf(quantile(Values, NinetyNine)),
              millisecondsOf(quantile(Values, 1.0)));
}

void measure(const char *Name, const RunConfig &Config) {
  std::vector<Duration> DetectionTimes;
  std::vector<Duration> FencingTimes;
  std::vector<Duration> PromotionTimes;
  std::vector<Duration> FirstWriteTimes;
  std::vector<Duration> TotalTimes;
  std::uint64_t PromotingRuns = 0;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    FailoverTimeline Timeline = FailoverRun(Config, Seed).run();
    if (Timeline.Promotions > 0)
      ++PromotingRuns;
    if (!Timeline.Acknowledged)
      continue;
    DetectionTimes.push_back(*Timeline.Detected);
    FencingTimes.push_back(*Timeline.Fenced - *Timeline.Detected);
    PromotionTimes.push_back(*Timeline.Promoted - *Timeline.Fenced);
    FirstWriteTimes.push_back(*Timeline.Acknowledged - *Timeline.Promoted);
    TotalTimes.push_back(*Timeline.Acknowledged);
  }
  std::printf(
      "%s, %s, silence timeout %.0f ms: runs with a promotion %llu of %llu;",
      Name, Config.Profile.Name, millisecondsOf(Config.SilenceTimeout),
      static_cast<unsigned long long>(PromotingRuns),
      static_cast<unsigned long long>(Runs));
  printStage("gap", TotalTimes);
  printStage("detection", DetectionTimes);
  printStage("sealing", FencingTimes);
  printStage("promotion", PromotionTimes);
  printStage("first write", FirstWriteTimes);
  std::printf("\n");
  std::fflush(stdout);
}

void measureTenant(const TenantProfile &Profile) {
  measure("crash, connections refused",
          {.Profile = Profile, .ConnectionsRefused = true});
  measure("silence", {.Profile = Profile});
  measure("silence, replication lag 50 ms",
          {.Profile = Profile, .ReplicationLag = milliseconds(50)});
  measure("silence, replication lag 1 s",
          {.Profile = Profile, .ReplicationLag = milliseconds(1000)});
  for (Duration Timeout : {milliseconds(50), milliseconds(100),
                           milliseconds(200), milliseconds(400)}) {
    RunConfig Stall{.Profile = Profile,
                    .SilenceTimeout = Timeout,
                    .OutageLength = milliseconds(200)};
    measure("stall of 200 ms", Stall);
    Stall.CheckBeforeFencing = false;
    measure("stall of 200 ms, no promotion check", Stall);
    Stall.OutageLength = milliseconds(300);
    measure("stall of 300 ms, no promotion check", Stall);
    Stall.CheckBeforeFencing = true;
    measure("stall of 300 ms", Stall);
    measure("silence", {.Profile = Profile, .SilenceTimeout = Timeout});
  }
}

} // namespace
} // namespace turmericpitch

int main() {
  using namespace turmericpitch;
  std::printf("milliseconds as min/median/p99/max\n");
  measureTenant({.Name = "Sabarmati",
                 .Promoters = 4,
                 .OneWayDelay = std::chrono::microseconds(1500)});
  measureTenant(
      {.Name = "Chechia", .Promoters = 3, .OneWayDelay = milliseconds(1)});
  return 0;
}
