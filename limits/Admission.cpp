#include "limits/Admission.h"

#include <algorithm>
#include <cmath>

namespace turmericpitch {

namespace {

/// Weight of one observation in the exponential moving average of the service
/// time.
constexpr double ServiceTimeWeight = 1.0 / 16;
/// Retry times are extended by a random fraction up to this, so that callers
/// whose statements are shed together do not retry together.
constexpr double RetryJitter = 0.5;
/// Upper bound of an estimated wait; also used when there is no capacity.
constexpr Duration MaxWait = std::chrono::hours(1);

constexpr std::array<AdmissionClass, AdmissionClassCount> AllClasses{
    AdmissionClass::Write, AdmissionClass::SessionRead,
    AdmissionClass::BoundedStalenessRead};

} // namespace

std::string_view toString(AdmissionClass Class) {
  switch (Class) {
  case AdmissionClass::Write:
    return "write";
  case AdmissionClass::SessionRead:
    return "session_read";
  case AdmissionClass::BoundedStalenessRead:
    return "stated_age_read";
  }
  return "unknown";
}

Admission::Admission(AdmissionOptions InitialOptions)
    : Options(InitialOptions), Random(InitialOptions.Seed),
      ServiceTime(InitialOptions.InitialServiceTime) {}

Admission::ClassQueue &Admission::queueOf(AdmissionClass Class) {
  return this->Queues[static_cast<std::size_t>(Class)];
}

double Admission::classWeight(AdmissionClass Class) const {
  return this->Options.ClassWeights[static_cast<std::size_t>(Class)];
}

Duration Admission::expectedWait(const AdmissionRequest &Request,
                                 std::size_t Position) const {
  if (this->Capacity == 0)
    return MaxWait;
  double ClassWeights = 0;
  for (AdmissionClass Each : AllClasses) {
    const auto &Queue = this->Queues[static_cast<std::size_t>(Each)];
    if (Each == Request.Class || !Queue.Waiting.empty())
      ClassWeights += this->classWeight(Each);
  }
  const auto &ClassState =
      this->Queues[static_cast<std::size_t>(Request.Class)];
  double Weight = std::max(Request.Weight, std::uint32_t{1});
  double Weights = ClassState.AccountWeights;
  if (!ClassState.Accounts.contains(Request.Account))
    Weights += Weight;
  double Share = this->classWeight(Request.Class) / ClassWeights;
  Share *= Weight / std::max(Weights, Weight);
  double PerMicrosecond =
      Share * static_cast<double>(this->Capacity) /
      static_cast<double>(std::max(this->ServiceTime, Duration(1)).count());
  double Microseconds = static_cast<double>(Position) / PerMicrosecond;
  return std::min(Duration(static_cast<std::int64_t>(Microseconds)), MaxWait);
}

bool Admission::meetsDeadline(const AdmissionRequest &Request, Duration Wait,
                              TimePoint Now) const {
  if (!this->Options.ShedEarly)
    return Now < Request.Deadline;
  return Now + Wait + this->ServiceTime <= Request.Deadline;
}

Error Admission::makeShedError(const AdmissionRequest &Request, Duration Wait,
                               TimePoint Now) {
  Duration Missing = Wait + this->ServiceTime - (Request.Deadline - Now);
  double Spread = 1 + RetryJitter * this->Random.fraction();
  auto RetryAfter = Duration(static_cast<std::int64_t>(
      static_cast<double>(
          std::max(Missing, this->Options.MinRetryAfter).count()) *
      Spread));
  return {.Kind = ErrorKind::Overloaded,
          .Message = "the statement could not be served by its deadline",
          .Remedy = "send it again after retry_after_ms, or with a longer "
                    "deadline",
          .RetryAfter = std::min(RetryAfter, this->Options.MaxRetryAfter)};
}

AdmissionTicket Admission::enqueue(const AdmissionRequest &Request) {
  ClassQueue &Queue = this->queueOf(Request.Class);
  if (Queue.Waiting.empty())
    Queue.Pass = std::max(Queue.Pass, this->ClassVirtualTime);
  auto [At, Inserted] = Queue.Accounts.try_emplace(Request.Account);
  AccountQueue &Account = At->second;
  if (Inserted) {
    Account.Weight = std::max(Request.Weight, std::uint32_t{1});
    Queue.AccountWeights += Account.Weight;
  }
  ++Account.Waiting;
  Account.LastVirtualFinish =
      std::max(Account.LastVirtualFinish, Queue.VirtualTime) +
      1 / Account.Weight;
  AdmissionTicket Ticket{this->NextTicket++};
  QueuePosition Where{.VirtualFinish = Account.LastVirtualFinish,
                      .Ticket = Ticket.Value};
  Queue.Waiting.emplace(Where, Request);
  this->Positions.emplace(Ticket, TicketLocation{Request.Class, Where});
  return Ticket;
}

void Admission::remove(AdmissionClass Class, const QueuePosition &Where) {
  ClassQueue &Queue = this->queueOf(Class);
  auto At = Queue.Waiting.find(Where);
  auto Account = Queue.Accounts.find(At->second.Account);
  if (--Account->second.Waiting == 0) {
    Queue.AccountWeights -= Account->second.Weight;
    Queue.Accounts.erase(Account);
  }
  Queue.Waiting.erase(At);
  this->Positions.erase(AdmissionTicket{Where.Ticket});
}

AdmissionDecision Admission::admit(const AdmissionRequest &Request,
                                   TimePoint Now) {
  // A free connection is always granted, whatever the estimated service time:
  // only running statements shows whether the member has recovered.
  if (this->InUse < this->Capacity && this->Positions.empty()) {
    ++this->InUse;
    return AdmitNow{};
  }
  ClassQueue &Queue = this->queueOf(Request.Class);
  auto Account = Queue.Accounts.find(Request.Account);
  std::size_t Ahead =
      Account == Queue.Accounts.end() ? 0 : Account->second.Waiting;
  Duration Wait = this->expectedWait(Request, Ahead + 1);
  bool Full = Queue.Waiting.size() >= this->Options.MaxWaiting;
  if (Full || !this->meetsDeadline(Request, Wait, Now))
    return this->makeShedError(Request, Wait, Now);
  return AdmissionQueued{this->enqueue(Request)};
}

Admission::ClassQueue *Admission::nextClass() {
  ClassQueue *Next = nullptr;
  for (ClassQueue &Queue : this->Queues)
    if (!Queue.Waiting.empty() && (!Next || Queue.Pass < Next->Pass))
      Next = &Queue;
  return Next;
}

std::vector<AdmissionChange> Admission::admitWaiting(TimePoint Now) {
  std::vector<AdmissionChange> Changes;
  while (this->InUse < this->Capacity) {
    ClassQueue *Queue = this->nextClass();
    if (!Queue)
      break;
    auto [Where, Request] = *Queue->Waiting.begin();
    AdmissionChange Change{.Ticket = AdmissionTicket{Where.Ticket},
                           .Shed = std::nullopt};
    this->remove(Request.Class, Where);
    if (this->meetsDeadline(Request, Duration{0}, Now)) {
      Queue->VirtualTime = Where.VirtualFinish;
      this->ClassVirtualTime = Queue->Pass;
      Queue->Pass += 1 / this->classWeight(Request.Class);
      ++this->InUse;
    } else {
      Change.Shed = this->makeShedError(Request, Duration{0}, Now);
    }
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

std::vector<AdmissionChange> Admission::onReleased(Duration HeldFor,
                                                   TimePoint Now) {
  auto Mean = static_cast<double>(this->ServiceTime.count());
  Mean += ServiceTimeWeight * (static_cast<double>(HeldFor.count()) - Mean);
  this->ServiceTime = Duration(std::llround(Mean));
  return this->onUnused(Now);
}

std::vector<AdmissionChange> Admission::onUnused(TimePoint Now) {
  --this->InUse;
  return this->admitWaiting(Now);
}

std::vector<AdmissionChange> Admission::setCapacity(std::size_t Count,
                                                    TimePoint Now) {
  this->Capacity = Count;
  return this->admitWaiting(Now);
}

std::vector<AdmissionChange> Admission::shedExpired(TimePoint Now) {
  struct ExpiredEntry {
    QueuePosition Where;
    AdmissionRequest Request;
    Duration Wait;
  };
  std::vector<ExpiredEntry> Expired;
  for (ClassQueue &Queue : this->Queues) {
    std::unordered_map<ClientAccountId, std::size_t> Kept;
    for (const auto &[Where, Request] : Queue.Waiting) {
      std::size_t &Position = Kept[Request.Account];
      Duration Wait = this->expectedWait(Request, Position + 1);
      if (this->meetsDeadline(Request, Wait, Now))
        ++Position;
      else
        Expired.push_back({Where, Request, Wait});
    }
  }
  std::vector<AdmissionChange> Changes;
  for (const ExpiredEntry &Each : Expired) {
    this->remove(Each.Request.Class, Each.Where);
    Changes.push_back(
        {.Ticket = AdmissionTicket{Each.Where.Ticket},
         .Shed = this->makeShedError(Each.Request, Each.Wait, Now)});
  }
  return Changes;
}

bool Admission::cancel(AdmissionTicket Ticket) {
  auto Found = this->Positions.find(Ticket);
  if (Found == this->Positions.end())
    return false;
  TicketLocation Cancelled = Found->second;
  this->remove(Cancelled.Class, Cancelled.Where);
  return true;
}

} // namespace turmericpitch
