#include "tools/OverloadModel.h"

#include "limits/DemandEstimate.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace turmericpitch {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t BackgroundAccounts = 20;
constexpr double WriteShare = 0.2;
constexpr double SessionReadShare = 0.5;

/// A statement that is queued or running.
struct PendingStatement {
  AdmissionRequest Request;
  TimePoint ArrivedAt;
  bool FromHotAccount = false;
};

/// The busy slots of a member and the statements that wait for one.
struct ModelMember {
  std::uint32_t Busy = 0;
  std::deque<std::function<void()>> Queue;
};

/// Admission of one instance's statements to one member.
struct MemberAdmission {
  std::unique_ptr<Admission> Queue;
  std::map<AdmissionTicket, PendingStatement> Waiting;
  DemandEstimate Demand;
};

struct ModelInstance {
  std::unique_ptr<ConnectionShares> Shares;
  std::vector<MemberAdmission> MemberAdmissions;
};

class OverloadRun {
public:
  explicit OverloadRun(const OverloadOptions &Options);
  OverloadResult run();

private:
  void arrive();
  void admit(std::uint32_t Instance, const PendingStatement &Arrived);
  void start(std::uint32_t Instance, std::uint32_t Member,
             const PendingStatement &Running);
  void serve(std::uint32_t Instance, std::uint32_t Member,
             const PendingStatement &Running, TimePoint ConnectionAcquiredAt);
  void answer(const PendingStatement &Done);
  void refuse(const PendingStatement &Refused);
  void applyAdmissionChanges(std::uint32_t Instance, std::uint32_t Member,
                             const std::vector<AdmissionChange> &Changes);
  void tick(std::uint32_t Instance);
  /// Applies the usable connection share to all members. Returns whether no
  /// member has more connections in use than that.
  bool applyCapacity(std::uint32_t Instance);
  void send(std::uint32_t From, const std::vector<ShareSend> &Sends);
  void recordOpenConnections();
  [[nodiscard]] bool measuring() const;
  [[nodiscard]] ConnectionSharesOptions shareOptions(std::uint32_t Index) const;
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

InstanceId instanceId(std::uint32_t Index) {
  return InstanceId{std::to_string(Index)};
}

Duration quantile(std::vector<Duration> &Values, double Quantile) {
  if (Values.empty())
    return Duration{0};
  auto Position =
      Values.begin() + static_cast<std::ptrdiff_t>(
                           Quantile * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Position, Values.end());
  return *Position;
}

OverloadRun::OverloadRun(const OverloadOptions &InitialOptions)
    : Options(InitialOptions), Random(InitialOptions.Seed),
      Members(InitialOptions.Members), Instances(InitialOptions.Instances) {
  AdmissionOptions Queueing;
  Queueing.ShedEarly = this->Options.AdmissionControl;
  if (!this->Options.AdmissionControl)
    Queueing.MaxWaiting = SIZE_MAX;
  for (std::uint32_t Index = 0; Index < InitialOptions.Instances; ++Index) {
    ModelInstance &Instance = this->Instances[Index];
    Instance.Shares = std::make_unique<ConnectionShares>(
        this->shareOptions(Index), TimePoint{});
    Instance.MemberAdmissions.resize(InitialOptions.Members);
    for (MemberAdmission &Controller : Instance.MemberAdmissions) {
      Queueing.Seed = this->Random.nextBelow(UINT32_MAX);
      Controller.Queue = std::make_unique<Admission>(Queueing);
    }
    this->Queue.scheduleAfter(Duration(this->Random.nextBelow(100'000)),
                              [this, Index] { this->tick(Index); });
  }
}

ConnectionSharesOptions OverloadRun::shareOptions(std::uint32_t Index) const {
  ConnectionSharesOptions Shares;
  Shares.Target = DatabaseId{"bookings"};
  Shares.Self = instanceId(Index);
  for (std::uint32_t Each = 0; Each < this->Options.Instances; ++Each)
    Shares.Instances.push_back(instanceId(Each));
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
         this->Queue.now() < Begin + this->Options.MeasurementPeriod;
}

void OverloadRun::arrive() {
  PendingStatement Arrived;
  Arrived.ArrivedAt = this->Queue.now();
  Arrived.FromHotAccount = this->Random.chance(this->Options.HotAccountShare);
  double Kind = this->Random.fraction();
  Arrived.Request.Class = Kind < WriteShare ? AdmissionClass::Write
                          : Kind < WriteShare + SessionReadShare
                              ? AdmissionClass::SessionRead
                              : AdmissionClass::BoundedStalenessRead;
  std::uint32_t BackgroundAccount = this->Random.nextBelow(BackgroundAccounts);
  Arrived.Request.Account = ClientAccountId{
      Arrived.FromHotAccount ? "hot"
                             : "calm-" + std::to_string(BackgroundAccount)};
  Arrived.Request.Deadline = Arrived.ArrivedAt + this->Options.RequestTimeout;
  if (!Arrived.FromHotAccount && this->measuring())
    this->Result.BackgroundOffered += 1;
  std::uint32_t Instance =
      Arrived.FromHotAccount ? 0
                             : this->Random.nextBelow(this->Options.Instances);
  this->admit(Instance, Arrived);
  double Rate = this->Options.capacity() * this->Options.Load;
  constexpr double Second = 1e6;
  this->Queue.scheduleAfter(
      Duration(std::llround(this->exponential(Second / Rate))),
      [this] { this->arrive(); });
}

void OverloadRun::admit(std::uint32_t Instance,
                        const PendingStatement &Arrived) {
  std::uint32_t Member = this->Random.nextBelow(this->Options.Members);
  MemberAdmission &Controller =
      this->Instances[Instance].MemberAdmissions[Member];
  AdmissionRequest Request = Arrived.Request;
  if (!this->Options.AdmissionControl) {
    Request.Class = AdmissionClass::SessionRead;
    Request.Account = ClientAccountId{"all"};
  }
  auto Decision = Controller.Queue->admit(Request, this->Queue.now());
  if (std::holds_alternative<AdmitNow>(Decision))
    this->start(Instance, Member, Arrived);
  else if (auto *Later = std::get_if<AdmissionQueued>(&Decision))
    Controller.Waiting.emplace(Later->Ticket, Arrived);
  else
    this->refuse(Arrived);
}

void OverloadRun::start(std::uint32_t Instance, std::uint32_t Member,
                        const PendingStatement &Running) {
  this->recordOpenConnections();
  TimePoint ConnectionAcquiredAt = this->Queue.now();
  this->Queue.scheduleAfter(this->Options.OneWayDelay, [=, this] {
    ModelMember &Server = this->Members[Member];
    auto Serve = [=, this] {
      this->serve(Instance, Member, Running, ConnectionAcquiredAt);
    };
    if (Server.Busy >= this->Options.Slots) {
      Server.Queue.emplace_back(Serve);
      return;
    }
    ++Server.Busy;
    Serve();
  });
}

void OverloadRun::serve(std::uint32_t Instance, std::uint32_t Member,
                        const PendingStatement &Running,
                        TimePoint ConnectionAcquiredAt) {
  auto Mean = static_cast<double>(this->Options.MeanServiceTime.count());
  Duration Service(std::llround(this->exponential(Mean)));
  this->Queue.scheduleAfter(Service, [=, this] {
    ModelMember &Server = this->Members[Member];
    --Server.Busy;
    if (!Server.Queue.empty()) {
      auto Next = std::move(Server.Queue.front());
      Server.Queue.pop_front();
      ++Server.Busy;
      Next();
    }
    Duration ReleaseDelay =
        this->Options.OneWayDelay + this->Options.TransactionHoldTime;
    this->Queue.scheduleAfter(ReleaseDelay, [=, this] {
      this->answer(Running);
      TimePoint Now = this->Queue.now();
      Admission &Controller =
          *this->Instances[Instance].MemberAdmissions[Member].Queue;
      this->applyAdmissionChanges(
          Instance, Member,
          Controller.onReleased(Now - ConnectionAcquiredAt, Now));
    });
  });
}

void OverloadRun::answer(const PendingStatement &Done) {
  if (!this->measuring() || this->Queue.now() > Done.Request.Deadline)
    return;
  this->Result.Goodput += 1;
  this->Result.BackgroundGoodput += Done.FromHotAccount ? 0 : 1;
  this->Latencies.push_back(this->Queue.now() - Done.ArrivedAt);
}

void OverloadRun::refuse(const PendingStatement &Refused) {
  if (this->measuring())
    this->Refusals.push_back(this->Queue.now() - Refused.ArrivedAt);
}

void OverloadRun::applyAdmissionChanges(
    std::uint32_t Instance, std::uint32_t Member,
    const std::vector<AdmissionChange> &Changes) {
  auto &Waiting = this->Instances[Instance].MemberAdmissions[Member].Waiting;
  for (const AdmissionChange &Each : Changes) {
    PendingStatement Statement = Waiting.at(Each.Ticket);
    Waiting.erase(Each.Ticket);
    if (Each.Shed)
      this->refuse(Statement);
    else
      this->start(Instance, Member, Statement);
  }
}

void OverloadRun::tick(std::uint32_t Index) {
  ModelInstance &Instance = this->Instances[Index];
  TimePoint Now = this->Queue.now();
  std::uint32_t MaxDemand = 0;
  for (MemberAdmission &Controller : Instance.MemberAdmissions) {
    Controller.Demand.onSample(Controller.Queue->inUse() +
                               Controller.Queue->waiting());
    MaxDemand = std::max(MaxDemand, Controller.Demand.need());
  }
  Instance.Shares->setNeed(MaxDemand);
  this->applyCapacity(Index);
  for (std::uint32_t Member = 0; Member < Instance.MemberAdmissions.size();
       ++Member)
    this->applyAdmissionChanges(
        Index, Member,
        Instance.MemberAdmissions[Member].Queue->shedExpired(Now));
  if (this->Options.DemandShares)
    this->send(Index, Instance.Shares->onTick(Now));
  this->Queue.scheduleAfter(TickInterval, [this, Index] { this->tick(Index); });
}

bool OverloadRun::applyCapacity(std::uint32_t Index) {
  ModelInstance &Instance = this->Instances[Index];
  TimePoint Now = this->Queue.now();
  std::size_t Usable = Instance.Shares->usable(Now);
  bool WithinCapacity = true;
  for (std::uint32_t Member = 0; Member < Instance.MemberAdmissions.size();
       ++Member) {
    Admission &Controller = *Instance.MemberAdmissions[Member].Queue;
    this->applyAdmissionChanges(Index, Member,
                                Controller.setCapacity(Usable, Now));
    WithinCapacity = WithinCapacity && Controller.inUse() <= Usable;
  }
  Instance.Shares->setWithinAllowance(WithinCapacity);
  return WithinCapacity;
}

void OverloadRun::send(std::uint32_t From,
                       const std::vector<ShareSend> &Sends) {
  if (this->measuring())
    this->Result.Messages += static_cast<double>(Sends.size());
  for (const ShareSend &Each : Sends) {
    auto To = static_cast<std::uint32_t>(std::stoul(Each.To.Value));
    ShareMessage Message = Each.Message;
    this->Queue.scheduleAfter(this->Options.OneWayDelay, [=, this] {
      ConnectionShares &Shares = *this->Instances[To].Shares;
      auto Answers =
          Shares.onMessage(instanceId(From), Message, this->Queue.now());
      if (this->applyCapacity(To))
        this->send(To, Answers);
    });
  }
}

void OverloadRun::recordOpenConnections() {
  for (std::uint32_t Member = 0; Member < this->Options.Members; ++Member) {
    std::size_t Sum = 0;
    for (const ModelInstance &Instance : this->Instances)
      Sum += Instance.MemberAdmissions[Member].Queue->inUse();
    this->Result.MaxOpenConnections = std::max(this->Result.MaxOpenConnections,
                                               static_cast<std::uint32_t>(Sum));
  }
}

OverloadResult OverloadRun::run() {
  this->arrive();
  this->Queue.runUntil(TimePoint{} + this->Options.WarmUp +
                       this->Options.MeasurementPeriod);
  double Seconds =
      std::chrono::duration<double>(this->Options.MeasurementPeriod).count();
  this->Result.Goodput /= Seconds;
  this->Result.BackgroundGoodput /= Seconds;
  this->Result.BackgroundOffered /= Seconds;
  this->Result.Messages /= Seconds * this->Options.Instances;
  this->Result.Median = quantile(this->Latencies, 0.5);
  this->Result.P99 = quantile(this->Latencies, 0.99);
  this->Result.RefusalP99 = quantile(this->Refusals, 0.99);
  return this->Result;
}

} // namespace

double OverloadOptions::capacity() const {
  return this->Members * this->Slots /
         std::chrono::duration<double>(this->MeanServiceTime).count();
}

OverloadResult runOverload(const OverloadOptions &Options) {
  return OverloadRun(Options).run();
}

} // namespace turmericpitch
