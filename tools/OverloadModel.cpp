#include "tools/OverloadModel.h"

#include "limits/DemandEstimate.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace turmericpitch {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t CalmAccounts = 20;
constexpr double WritePart = 0.2;
constexpr double SessionReadPart = 0.5;

/// A statement on its way.
struct Work {
  AdmissionRequest Request;
  TimePoint ArrivedAt;
  bool Hot = false;
};

/// A member's slots and the statements sent to it that wait for one.
struct ModelMember {
  std::uint32_t Busy = 0;
  std::deque<std::function<void()>> Queue;
};

/// One instance's connections to one member.
struct ModelGate {
  std::unique_ptr<Admission> Queue;
  std::map<AdmissionTicket, Work> Waiting;
  DemandEstimate Demand;
};

struct ModelInstance {
  std::unique_ptr<ConnectionShares> Shares;
  std::vector<ModelGate> Gates;
};

class OverloadRun {
public:
  explicit OverloadRun(const OverloadOptions &Options);
  OverloadResult run();

private:
  void arrive();
  void enter(std::uint32_t Instance, const Work &Arrived);
  void start(std::uint32_t Instance, std::uint32_t Member, const Work &Begun);
  void serve(std::uint32_t Instance, std::uint32_t Member, const Work &Begun,
             TimePoint LeasedAt);
  void answer(const Work &Done);
  void refuse(const Work &Refused);
  void take(std::uint32_t Instance, std::uint32_t Member,
            const std::vector<AdmissionChange> &Changes);
  void tick(std::uint32_t Instance);
  /// Whether no more is in use than usable.
  bool apply(std::uint32_t Instance);
  void send(std::uint32_t From, const std::vector<ShareSend> &Sends);
  void noteOpen();
  [[nodiscard]] bool measuring() const;
  [[nodiscard]] ConnectionSharesOptions sharesOf(std::uint32_t Index) const;
  double exponential(double Mean);

  OverloadOptions Options;
  RandomSource Random;
  EventQueue Queue;
  std::vector<ModelMember> Members;
  std::vector<ModelInstance> Instances;
  std::vector<Duration> Latencies;
  std::vector<Duration> Refusals;
  OverloadResult Result;
};

InstanceId nameOf(std::uint32_t Index) {
  return InstanceId{std::to_string(Index)};
}

Duration quantile(std::vector<Duration> &Values, double Part) {
  if (Values.empty())
    return Duration{0};
  auto At = Values.begin() + static_cast<std::ptrdiff_t>(
                                 Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), At, Values.end());
  return *At;
}

OverloadRun::OverloadRun(const OverloadOptions &Given)
    : Options(Given), Random(Given.Seed), Members(Given.Members),
      Instances(Given.Instances) {
  AdmissionOptions Queueing;
  Queueing.ShedEarly = this->Options.Admission;
  if (!this->Options.Admission)
    Queueing.MaxWaiting = SIZE_MAX;
  for (std::uint32_t Index = 0; Index < Given.Instances; ++Index) {
    ModelInstance &Instance = this->Instances[Index];
    Instance.Shares =
        std::make_unique<ConnectionShares>(this->sharesOf(Index), TimePoint{});
    Instance.Gates.resize(Given.Members);
    for (ModelGate &Gate : Instance.Gates) {
      Queueing.Seed = this->Random.nextBelow(UINT32_MAX);
      Gate.Queue = std::make_unique<Admission>(Queueing);
    }
    this->Queue.scheduleAfter(Duration(this->Random.nextBelow(100'000)),
                              [this, Index] { this->tick(Index); });
  }
}

ConnectionSharesOptions OverloadRun::sharesOf(std::uint32_t Index) const {
  ConnectionSharesOptions Shares;
  Shares.Target = DatabaseId{"bookings"};
  Shares.Self = nameOf(Index);
  for (std::uint32_t Each = 0; Each < this->Options.Instances; ++Each)
    Shares.Instances.push_back(nameOf(Each));
  Shares.Limit = this->Options.Connections;
  Shares.Incarnation = Index + 1;
  return Shares;
}

double OverloadRun::exponential(double Mean) {
  return -Mean * std::log(1 - this->Random.fraction());
}

bool OverloadRun::measuring() const {
  TimePoint Begin = TimePoint{} + this->Options.WarmUp;
  return this->Queue.now() >= Begin &&
         this->Queue.now() < Begin + this->Options.Measured;
}

void OverloadRun::arrive() {
  Work Arrived;
  Arrived.ArrivedAt = this->Queue.now();
  Arrived.Hot = this->Random.chance(this->Options.HotPart);
  double Kind = this->Random.fraction();
  Arrived.Request.Class = Kind < WritePart ? AdmissionClass::Write
                          : Kind < WritePart + SessionReadPart
                              ? AdmissionClass::SessionRead
                              : AdmissionClass::BoundedStalenessRead;
  std::uint32_t Calm = this->Random.nextBelow(CalmAccounts);
  Arrived.Request.Account =
      ClientAccountId{Arrived.Hot ? "hot" : "calm-" + std::to_string(Calm)};
  Arrived.Request.Deadline = Arrived.ArrivedAt + this->Options.Patience;
  if (!Arrived.Hot && this->measuring())
    this->Result.CalmOffered += 1;
  std::uint32_t Instance =
      Arrived.Hot ? 0 : this->Random.nextBelow(this->Options.Instances);
  this->enter(Instance, Arrived);
  double Rate = this->Options.capacity() * this->Options.Load;
  constexpr double Second = 1e6;
  this->Queue.scheduleAfter(
      Duration(std::llround(this->exponential(Second / Rate))),
      [this] { this->arrive(); });
}

void OverloadRun::enter(std::uint32_t Instance, const Work &Arrived) {
  std::uint32_t Member = this->Random.nextBelow(this->Options.Members);
  ModelGate &Gate = this->Instances[Instance].Gates[Member];
  AdmissionRequest Request = Arrived.Request;
  if (!this->Options.Admission) {
    Request.Class = AdmissionClass::SessionRead;
    Request.Account = ClientAccountId{"all"};
  }
  auto Decision = Gate.Queue->admit(Request, this->Queue.now());
  if (std::holds_alternative<AdmitNow>(Decision))
    this->start(Instance, Member, Arrived);
  else if (auto *Later = std::get_if<AdmissionQueued>(&Decision))
    Gate.Waiting.emplace(Later->Ticket, Arrived);
  else
    this->refuse(Arrived);
}

void OverloadRun::start(std::uint32_t Instance, std::uint32_t Member,
                        const Work &Begun) {
  this->noteOpen();
  TimePoint LeasedAt = this->Queue.now();
  this->Queue.scheduleAfter(this->Options.OneWay, [=, this] {
    ModelMember &At = this->Members[Member];
    auto Serve = [=, this] { this->serve(Instance, Member, Begun, LeasedAt); };
    if (At.Busy >= this->Options.Slots) {
      At.Queue.emplace_back(Serve);
      return;
    }
    ++At.Busy;
    Serve();
  });
}

void OverloadRun::serve(std::uint32_t Instance, std::uint32_t Member,
                        const Work &Begun, TimePoint LeasedAt) {
  auto Mean = static_cast<double>(this->Options.MeanService.count());
  Duration Service(std::llround(this->exponential(Mean)));
  this->Queue.scheduleAfter(Service, [=, this] {
    ModelMember &At = this->Members[Member];
    --At.Busy;
    if (!At.Queue.empty()) {
      auto Next = std::move(At.Queue.front());
      At.Queue.pop_front();
      ++At.Busy;
      Next();
    }
    Duration Back = this->Options.OneWay + this->Options.Thinking;
    this->Queue.scheduleAfter(Back, [=, this] {
      this->answer(Begun);
      TimePoint Now = this->Queue.now();
      Admission &Gate = *this->Instances[Instance].Gates[Member].Queue;
      this->take(Instance, Member, Gate.onReleased(Now - LeasedAt, Now));
    });
  });
}

void OverloadRun::answer(const Work &Done) {
  if (!this->measuring() || this->Queue.now() > Done.Request.Deadline)
    return;
  this->Result.Goodput += 1;
  this->Result.CalmGoodput += Done.Hot ? 0 : 1;
  this->Latencies.push_back(this->Queue.now() - Done.ArrivedAt);
}

void OverloadRun::refuse(const Work &Refused) {
  if (this->measuring())
    this->Refusals.push_back(this->Queue.now() - Refused.ArrivedAt);
}

void OverloadRun::take(std::uint32_t Instance, std::uint32_t Member,
                       const std::vector<AdmissionChange> &Changes) {
  auto &Waiting = this->Instances[Instance].Gates[Member].Waiting;
  for (const AdmissionChange &Each : Changes) {
    Work Taken = Waiting.at(Each.Ticket);
    Waiting.erase(Each.Ticket);
    if (Each.Shed)
      this->refuse(Taken);
    else
      this->start(Instance, Member, Taken);
  }
}

void OverloadRun::tick(std::uint32_t Index) {
  ModelInstance &Instance = this->Instances[Index];
  TimePoint Now = this->Queue.now();
  std::uint32_t Need = 0;
  for (ModelGate &Gate : Instance.Gates) {
    Gate.Demand.onSample(Gate.Queue->inUse() + Gate.Queue->waiting());
    Need = std::max(Need, Gate.Demand.need());
  }
  Instance.Shares->setNeed(Need);
  this->apply(Index);
  for (std::uint32_t Member = 0; Member < Instance.Gates.size(); ++Member)
    this->take(Index, Member, Instance.Gates[Member].Queue->shedExpired(Now));
  if (this->Options.DemandShares)
    this->send(Index, Instance.Shares->onTick(Now));
  this->Queue.scheduleAfter(TickInterval, [this, Index] { this->tick(Index); });
}

bool OverloadRun::apply(std::uint32_t Index) {
  ModelInstance &Instance = this->Instances[Index];
  TimePoint Now = this->Queue.now();
  std::size_t Usable = Instance.Shares->usable(Now);
  bool Within = true;
  for (std::uint32_t Member = 0; Member < Instance.Gates.size(); ++Member) {
    Admission &Gate = *Instance.Gates[Member].Queue;
    this->take(Index, Member, Gate.setCapacity(Usable, Now));
    Within = Within && Gate.inUse() <= Usable;
  }
  Instance.Shares->setWithinAllowance(Within);
  return Within;
}

void OverloadRun::send(std::uint32_t From,
                       const std::vector<ShareSend> &Sends) {
  if (this->measuring())
    this->Result.Messages += static_cast<double>(Sends.size());
  for (const ShareSend &Each : Sends) {
    auto To = static_cast<std::uint32_t>(std::stoul(Each.To.Value));
    ShareMessage Message = Each.Message;
    this->Queue.scheduleAfter(this->Options.OneWay, [=, this] {
      ConnectionShares &Shares = *this->Instances[To].Shares;
      auto Answers = Shares.onMessage(nameOf(From), Message, this->Queue.now());
      if (this->apply(To))
        this->send(To, Answers);
    });
  }
}

void OverloadRun::noteOpen() {
  for (std::uint32_t Member = 0; Member < this->Options.Members; ++Member) {
    std::size_t Sum = 0;
    for (const ModelInstance &Instance : this->Instances)
      Sum += Instance.Gates[Member].Queue->inUse();
    this->Result.MostOpen =
        std::max(this->Result.MostOpen, static_cast<std::uint32_t>(Sum));
  }
}

OverloadResult OverloadRun::run() {
  this->arrive();
  this->Queue.runUntil(TimePoint{} + this->Options.WarmUp +
                       this->Options.Measured);
  double Seconds =
      std::chrono::duration<double>(this->Options.Measured).count();
  this->Result.Goodput /= Seconds;
  this->Result.CalmGoodput /= Seconds;
  this->Result.CalmOffered /= Seconds;
  this->Result.Messages /= Seconds * this->Options.Instances;
  this->Result.Median = quantile(this->Latencies, 0.5);
  this->Result.P99 = quantile(this->Latencies, 0.99);
  this->Result.RefusalP99 = quantile(this->Refusals, 0.99);
  return this->Result;
}

} // namespace

double OverloadOptions::capacity() const {
  return this->Members * this->Slots /
         std::chrono::duration<double>(this->MeanService).count();
}

OverloadResult runOverload(const OverloadOptions &Options) {
  return OverloadRun(Options).run();
}

} // namespace turmericpitch
