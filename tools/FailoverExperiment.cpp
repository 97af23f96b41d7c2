// The failover gap over seeded runs in virtual time: one database's members
// and its promoters. Prints one table row for each setting.
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
constexpr Duration ProbeLimit = milliseconds(200);
constexpr Duration ReplicaPoll = milliseconds(50);
constexpr Duration WriteInterval = milliseconds(5);
constexpr Duration WarmUp = std::chrono::seconds(1);
constexpr Duration RunLimit = std::chrono::seconds(20);

struct Tenant {
  const char *Name;
  std::size_t Promoters;
  Duration OneWay;
};

struct Setting {
  Tenant Size;
  Duration SilenceTimeout{milliseconds(200)};
  /// How long the first primary is silent; the run's limit stands for ever.
  Duration Silence{RunLimit};
  /// Connections are refused, as after a crash, else nothing answers.
  bool Refused = false;
  Duration ReplicationLag{0};
  /// Members are asked before a term is sealed.
  bool Check = true;
};

/// Moments of one failover since the primary fell silent.
struct Gap {
  std::optional<Duration> Detected;
  std::optional<Duration> Sealed;
  std::optional<Duration> Promoted;
  std::optional<Duration> Acknowledged;
  std::uint32_t Promotions = 0;
};

class Run {
public:
  Run(const Setting &Given, std::uint64_t Seed);
  Gap play();

private:
  using Answered = std::function<void(const Outcome<MemberAnswer> &)>;

  struct Promoter {
    explicit Promoter(PrimaryFailureDetectorOptions Options)
        : Detector(Options) {}
    UpstreamController Upstreams;
    PrimaryFailureDetector Detector;
    std::unique_ptr<PromotionCheck> Check;
    std::unique_ptr<Promotion> Running;
    Term Newest;
  };

  void call(std::size_t Member, MemberRequest Request, Answered Then);
  void arrive(std::size_t Member, MemberRequest Request, Answered Then);
  void tick(std::size_t Index);
  void probe(std::size_t Index);
  void beginCheck(std::size_t Index);
  void beginPromotion(std::size_t Index);
  void send(std::size_t Index, std::vector<MemberCall> Calls);
  void replicate(std::size_t Member);
  void write();
  void confirm(const MemberAnswer &Answer, std::size_t Primary);
  void confirmAt(std::size_t Member, const ConfirmWrite &Wanted);
  [[nodiscard]] Duration delay();
  [[nodiscard]] bool silent(std::size_t Member) const;
  [[nodiscard]] Duration sinceFault() const {
    return this->Queue.now() - this->FaultAt;
  }
  static std::size_t indexOf(const UpstreamId &Id) {
    return static_cast<std::size_t>(Id.Value[0] - 'a');
  }

  Setting Given;
  RandomSource Random;
  EventQueue Queue;
  Database Target;
  std::vector<MemberStandIn> Members;
  std::vector<std::unique_ptr<Promoter>> Promoters;
  TimePoint FaultAt;
  Gap Result;
  std::uint64_t Attempts = 0;
};

Run::Run(const Setting &Given, std::uint64_t Seed)
    : Given(Given), Random(Seed) {
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
  Options.SilenceTimeout = Given.SilenceTimeout;
  for (std::size_t Index = 0; Index < Given.Size.Promoters; ++Index) {
    this->Promoters.push_back(std::make_unique<Promoter>(Options));
    this->Promoters.back()->Upstreams.onConfigured(this->Target);
  }
  this->FaultAt = TimePoint(WarmUp) +
                  Duration(this->Random.nextBelow(
                      static_cast<std::uint32_t>(ProbeInterval.count())));
}

/// One way, with up to half as much again of jitter.
Duration Run::delay() {
  auto Spread = static_cast<std::uint32_t>(this->Given.Size.OneWay.count() / 2);
  return this->Given.Size.OneWay + Duration(this->Random.nextBelow(Spread + 1));
}

bool Run::silent(std::size_t Member) const {
  TimePoint Now = this->Queue.now();
  return Member == 0 && Now >= this->FaultAt &&
         Now < this->FaultAt + this->Given.Silence;
}

void Run::call(std::size_t Member, MemberRequest Request, Answered Then) {
  this->Queue.scheduleAfter(this->delay(), [this, Member, Request, Then] {
    this->arrive(Member, Request, Then);
  });
}

void Run::arrive(std::size_t Member, MemberRequest Request, Answered Then) {
  Error Lost{.Kind = ErrorKind::Unavailable, .Message = "", .Remedy = ""};
  if (this->silent(Member)) {
    Duration Until = this->Given.Refused ? this->delay() : ProbeLimit;
    this->Queue.scheduleAfter(Until, [Then, Lost] { Then(Lost); });
    return;
  }
  auto Answer =
      this->Members[Member].handle(ConnectionId{}, Request, this->Queue.now());
  bool IsPromote = std::holds_alternative<PromoteRequest>(Request);
  if (Answer && IsPromote && !this->Result.Promoted)
    this->Result.Promoted = this->sinceFault();
  this->Queue.scheduleAfter(this->delay(), [Then, Answer] { Then(Answer); });
}

void Run::probe(std::size_t Index) {
  for (std::size_t Member = 0; Member < this->Members.size(); ++Member) {
    TimePoint AskedAt = this->Queue.now();
    this->call(Member, StatusRequest{},
               [this, Index, Member, AskedAt](const auto &Answer) {
                 auto &Upstreams = this->Promoters[Index]->Upstreams;
                 if (Answer)
                   Upstreams.onStatus(this->Target.Id, Answer.value().Status,
                                      AskedAt);
                 else
                   Upstreams.onFailure(this->Target.Id,
                                       this->Target.Members[Member].Id,
                                       this->Queue.now());
               });
  }
}

void Run::tick(std::size_t Index) {
  Promoter &P = *this->Promoters[Index];
  SharedDatabaseView View = P.Upstreams.view(this->Target.Id);
  if (P.Detector.evaluate(*View, Index, this->Queue.now()) ==
      PrimaryDecision::Promote) {
    P.Newest = View->newestTerm();
    if (this->Given.Check)
      this->beginCheck(Index);
    else
      this->beginPromotion(Index);
  }
  this->probe(Index);
  this->Queue.scheduleAfter(ProbeInterval,
                            [this, Index] { this->tick(Index); });
}

void Run::beginCheck(std::size_t Index) {
  Promoter &P = *this->Promoters[Index];
  PromotionCheckOptions Options;
  Options.Newest = P.Newest;
  P.Check = std::make_unique<PromotionCheck>(this->Target, Options);
  PromotionCheck *Mine = P.Check.get();
  for (const MemberCall &Call : P.Check->begin())
    this->call(indexOf(Call.Target), Call.Request,
               [this, Index, Mine, From = Call.Target](const auto &Answer) {
                 Promoter &Owner = *this->Promoters[Index];
                 if (Owner.Check.get() != Mine || Mine->over())
                   return;
                 Mine->onOutcome(From, Answer);
                 if (Mine->decision() == PromotionCheckDecision::Proceed)
                   this->beginPromotion(Index);
               });
}

void Run::beginPromotion(std::size_t Index) {
  Promoter &P = *this->Promoters[Index];
  ++this->Result.Promotions;
  if (!this->Result.Detected)
    this->Result.Detected = this->sinceFault();
  P.Running = std::make_unique<Promotion>(
      this->Target, Term{P.Newest.Value + 1}, std::to_string(++this->Attempts));
  this->send(Index, P.Running->begin());
}

void Run::send(std::size_t Index, std::vector<MemberCall> Calls) {
  Promotion *Mine = this->Promoters[Index]->Running.get();
  for (const MemberCall &Call : Calls) {
    bool IsPromote = std::holds_alternative<PromoteRequest>(Call.Request);
    if (IsPromote && !this->Result.Sealed)
      this->Result.Sealed = this->sinceFault();
    this->call(indexOf(Call.Target), Call.Request,
               [this, Index, Mine, From = Call.Target](const auto &Answer) {
                 if (this->Promoters[Index]->Running.get() == Mine)
                   this->send(Index, Mine->onOutcome(From, Answer));
               });
  }
}

void Run::replicate(std::size_t Member) {
  auto Request = this->Members[Member].replicationRequest();
  Duration Next = ReplicaPoll;
  if (Request && !this->silent(Member)) {
    std::size_t Primary = indexOf(Request->Primary);
    auto Batch = this->Members[Primary].replicate(*Request);
    if (Batch && !this->silent(Primary)) {
      // A long poll returns as soon as there is something.
      Next = WriteInterval;
      Duration Way = this->delay() + this->Given.ReplicationLag;
      this->Queue.scheduleAfter(Way, [this, Member, Entries = Batch.value()] {
        this->Members[Member].onReplicated(Entries, this->Queue.now());
      });
    }
  }
  this->Queue.scheduleAfter(std::min(Next, Duration(milliseconds(20))),
                            [this, Member] { this->replicate(Member); });
}

void Run::write() {
  std::size_t Primary = this->Members.size();
  Term Newest;
  for (std::size_t Member = 0; Member < this->Members.size(); ++Member) {
    MemberStatus Status = this->Members[Member].lastStatus();
    if (Status.Role != MemberRole::Primary || Status.AcceptedTerm < Newest ||
        this->silent(Member))
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

void Run::confirm(const MemberAnswer &Answer, std::size_t Primary) {
  SharedDatabaseView View =
      this->Promoters.front()->Upstreams.view(this->Target.Id);
  // Writes of the first term measure nothing.
  if (Answer.Status.AcceptedTerm == Term{1})
    return;
  ConfirmWrite Wanted = requiredConfirmation(
      Answer, this->Target.Members[Primary].Id, *View, milliseconds(100));
  for (const DatabaseMember &Replica : Wanted.Replicas)
    this->confirmAt(indexOf(Replica.Id), Wanted);
}

void Run::confirmAt(std::size_t Member, const ConfirmWrite &Wanted) {
  this->call(
      Member, StatusRequest{}, [this, Member, Wanted](const auto &Answer) {
        if (this->Result.Acknowledged)
          return;
        if (Answer && confirms(Wanted, Answer.value().Status))
          this->Result.Acknowledged = this->sinceFault();
        else
          this->Queue.scheduleAfter(WriteInterval, [this, Member, Wanted] {
            this->confirmAt(Member, Wanted);
          });
      });
}

Gap Run::play() {
  for (std::size_t Index = 0; Index < this->Promoters.size(); ++Index)
    this->Queue.scheduleAfter(
        Duration(this->Random.nextBelow(
            static_cast<std::uint32_t>(ProbeInterval.count()))),
        [this, Index] { this->tick(Index); });
  for (std::size_t Member = 0; Member < this->Members.size(); ++Member)
    this->replicate(Member);
  // Writing begins shortly before the fault: what came earlier tells nothing.
  this->Queue.scheduleAt(this->FaultAt - milliseconds(50),
                         [this] { this->write(); });
  TimePoint Until = this->FaultAt + std::min(this->Given.Silence, RunLimit) +
                    std::chrono::seconds(1);
  while (this->Queue.now() < Until && !this->Result.Acknowledged)
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

void measure(const char *Name, const Setting &Given) {
  std::vector<Duration> Detection;
  std::vector<Duration> Sealing;
  std::vector<Duration> CatchUp;
  std::vector<Duration> FirstWrite;
  std::vector<Duration> Whole;
  std::uint64_t Promoting = 0;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    Gap Seen = Run(Given, Seed).play();
    if (Seen.Promotions > 0)
      ++Promoting;
    if (!Seen.Acknowledged)
      continue;
    Detection.push_back(*Seen.Detected);
    Sealing.push_back(*Seen.Sealed - *Seen.Detected);
    CatchUp.push_back(*Seen.Promoted - *Seen.Sealed);
    FirstWrite.push_back(*Seen.Acknowledged - *Seen.Promoted);
    Whole.push_back(*Seen.Acknowledged);
  }
  std::printf("%s, %s, limit %.0f ms: promoting runs %llu of %llu;", Name,
              Given.Size.Name, millisecondsOf(Given.SilenceTimeout),
              static_cast<unsigned long long>(Promoting),
              static_cast<unsigned long long>(Runs));
  printStage("gap", Whole);
  printStage("detection", Detection);
  printStage("sealing", Sealing);
  printStage("promotion", CatchUp);
  printStage("first write", FirstWrite);
  std::printf("\n");
  std::fflush(stdout);
}

void measureTenant(const Tenant &Size) {
  measure("crash, refused", {.Size = Size, .Refused = true});
  measure("silence", {.Size = Size});
  measure("silence, lag 50 ms",
          {.Size = Size, .ReplicationLag = milliseconds(50)});
  measure("silence, lag 1 s",
          {.Size = Size, .ReplicationLag = milliseconds(1000)});
  for (Duration Limit : {milliseconds(50), milliseconds(100), milliseconds(200),
                         milliseconds(400)}) {
    Setting Stall{
        .Size = Size, .SilenceTimeout = Limit, .Silence = milliseconds(200)};
    measure("stall of 200 ms", Stall);
    Stall.Check = false;
    measure("stall of 200 ms, no check", Stall);
    Stall.Silence = milliseconds(300);
    measure("stall of 300 ms, no check", Stall);
    Stall.Check = true;
    measure("stall of 300 ms", Stall);
    measure("silence", {.Size = Size, .SilenceTimeout = Limit});
  }
}

} // namespace
} // namespace turmericpitch

int main() {
  using namespace turmericpitch;
  std::printf("milliseconds as min/median/p99/max\n");
  measureTenant({.Name = "Sabarmati",
                 .Promoters = 4,
                 .OneWay = std::chrono::microseconds(1500)});
  measureTenant({.Name = "Chechia", .Promoters = 3, .OneWay = milliseconds(1)});
  return 0;
}
