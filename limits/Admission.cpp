#include "limits/Admission.h"

#include <algorithm>
#include <cmath>

namespace turmericpitch {

namespace {

/// Weight of one observation in the mean service time.
constexpr double ServiceGain = 1.0 / 16;
/// Retry times are spread by up to this fraction, so that those shed
/// together don't return together.
constexpr double RetrySpread = 0.5;
/// Stands for a wait without end.
constexpr Duration Endless = std::chrono::hours(1);

constexpr std::array<AdmissionClass, AdmissionClassCount> AllClasses{
    AdmissionClass::Write, AdmissionClass::SessionRead,
    AdmissionClass::StatedAgeRead};

} // namespace

std::string_view toString(AdmissionClass Class) {
  switch (Class) {
  case AdmissionClass::Write:
    return "write";
  case AdmissionClass::SessionRead:
    return "session_read";
  case AdmissionClass::StatedAgeRead:
    return "stated_age_read";
  }
  return "unknown";
}

Admission::Admission(AdmissionOptions Given)
    : Options(Given), Random(Given.Seed), ServiceTime(Given.FirstServiceTime) {}

Admission::ClassQueue &Admission::queueOf(AdmissionClass Class) {
  return this->Queues[static_cast<std::size_t>(Class)];
}

double Admission::classWeight(AdmissionClass Class) const {
  return this->Options.ClassWeights[static_cast<std::size_t>(Class)];
}

Duration Admission::waitFor(const AdmissionRequest &Request,
                            std::size_t Position) const {
  if (this->Capacity == 0)
    return Endless;
  double ClassWeights = 0;
  for (AdmissionClass Each : AllClasses) {
    const auto &Queue = this->Queues[static_cast<std::size_t>(Each)];
    if (Each == Request.Class || !Queue.Waiting.empty())
      ClassWeights += this->classWeight(Each);
  }
  const auto &Own = this->Queues[static_cast<std::size_t>(Request.Class)];
  double Weight = std::max(Request.Weight, std::uint32_t{1});
  double Weights = Own.AccountWeights;
  if (!Own.Accounts.contains(Request.Account))
    Weights += Weight;
  double Share = this->classWeight(Request.Class) / ClassWeights;
  Share *= Weight / std::max(Weights, Weight);
  double PerMicrosecond =
      Share * static_cast<double>(this->Capacity) /
      static_cast<double>(std::max(this->ServiceTime, Duration(1)).count());
  double Micros = static_cast<double>(Position) / PerMicrosecond;
  return std::min(Duration(static_cast<std::int64_t>(Micros)), Endless);
}

bool Admission::fits(const AdmissionRequest &Request, Duration Wait,
                     TimePoint Now) const {
  if (!this->Options.ShedEarly)
    return Now < Request.Deadline;
  return Now + Wait + this->ServiceTime <= Request.Deadline;
}

Error Admission::shed(const AdmissionRequest &Request, Duration Wait,
                      TimePoint Now) {
  Duration Missing = Wait + this->ServiceTime - (Request.Deadline - Now);
  double Spread = 1 + RetrySpread * this->Random.fraction();
  auto Spaced = Duration(static_cast<std::int64_t>(
      static_cast<double>(
          std::max(Missing, this->Options.LeastRetryAfter).count()) *
      Spread));
  return {.Kind = ErrorKind::Overloaded,
          .Message = "the statement could not be served by its deadline",
          .Remedy = "send it again after retry_after_ms, or with a longer "
                    "deadline",
          .RetryAfter = std::min(Spaced, this->Options.MostRetryAfter)};
}

AdmissionTicket Admission::enqueue(const AdmissionRequest &Request) {
  ClassQueue &Queue = this->queueOf(Request.Class);
  if (Queue.Waiting.empty())
    Queue.Pass = std::max(Queue.Pass, this->ClassesServed);
  auto [At, Fresh] = Queue.Accounts.try_emplace(Request.Account);
  AccountQueue &Account = At->second;
  if (Fresh) {
    Account.Weight = std::max(Request.Weight, std::uint32_t{1});
    Queue.AccountWeights += Account.Weight;
  }
  ++Account.Waiting;
  Account.LastFinish =
      std::max(Account.LastFinish, Queue.Served) + 1 / Account.Weight;
  AdmissionTicket Ticket{this->NextTicket++};
  Place Where{.Finish = Account.LastFinish, .Ticket = Ticket.Value};
  Queue.Waiting.emplace(Where, Request);
  this->Places.emplace(Ticket, Located{Request.Class, Where});
  return Ticket;
}

void Admission::remove(AdmissionClass Class, const Place &Where) {
  ClassQueue &Queue = this->queueOf(Class);
  auto At = Queue.Waiting.find(Where);
  auto Account = Queue.Accounts.find(At->second.Account);
  if (--Account->second.Waiting == 0) {
    Queue.AccountWeights -= Account->second.Weight;
    Queue.Accounts.erase(Account);
  }
  Queue.Waiting.erase(At);
  this->Places.erase(AdmissionTicket{Where.Ticket});
}

AdmissionVerdict Admission::arrive(const AdmissionRequest &Request,
                                   TimePoint Now) {
  // Free connections are not refused on an old service time: only use
  // shows whether the member has recovered.
  if (this->InUse < this->Capacity && this->Places.empty()) {
    ++this->InUse;
    return AdmitNow{};
  }
  ClassQueue &Queue = this->queueOf(Request.Class);
  auto Account = Queue.Accounts.find(Request.Account);
  std::size_t Ahead =
      Account == Queue.Accounts.end() ? 0 : Account->second.Waiting;
  Duration Wait = this->waitFor(Request, Ahead + 1);
  bool Full = Queue.Waiting.size() >= this->Options.MostWaiting;
  if (Full || !this->fits(Request, Wait, Now))
    return this->shed(Request, Wait, Now);
  return AdmitLater{this->enqueue(Request)};
}

Admission::ClassQueue *Admission::nextClass() {
  ClassQueue *Next = nullptr;
  for (ClassQueue &Queue : this->Queues)
    if (!Queue.Waiting.empty() && (!Next || Queue.Pass < Next->Pass))
      Next = &Queue;
  return Next;
}

std::vector<AdmissionChange> Admission::fill(TimePoint Now) {
  std::vector<AdmissionChange> Changes;
  while (this->InUse < this->Capacity) {
    ClassQueue *Queue = this->nextClass();
    if (!Queue)
      break;
    auto [Where, Request] = *Queue->Waiting.begin();
    AdmissionChange Change{.Ticket = AdmissionTicket{Where.Ticket},
                           .Shed = std::nullopt};
    this->remove(Request.Class, Where);
    if (this->fits(Request, Duration{0}, Now)) {
      Queue->Served = Where.Finish;
      this->ClassesServed = Queue->Pass;
      Queue->Pass += 1 / this->classWeight(Request.Class);
      ++this->InUse;
    } else {
      Change.Shed = this->shed(Request, Duration{0}, Now);
    }
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

std::vector<AdmissionChange> Admission::onReleased(Duration HeldFor,
                                                   TimePoint Now) {
  auto Mean = static_cast<double>(this->ServiceTime.count());
  Mean += ServiceGain * (static_cast<double>(HeldFor.count()) - Mean);
  this->ServiceTime = Duration(std::llround(Mean));
  return this->onUnused(Now);
}

std::vector<AdmissionChange> Admission::onUnused(TimePoint Now) {
  --this->InUse;
  return this->fill(Now);
}

std::vector<AdmissionChange> Admission::setCapacity(std::size_t Count,
                                                    TimePoint Now) {
  this->Capacity = Count;
  return this->fill(Now);
}

std::vector<AdmissionChange> Admission::sweep(TimePoint Now) {
  struct Doomed {
    Place Where;
    AdmissionRequest Request;
    Duration Wait;
  };
  std::vector<Doomed> Given;
  for (ClassQueue &Queue : this->Queues) {
    std::unordered_map<ClientAccountId, std::size_t> Kept;
    for (const auto &[Where, Request] : Queue.Waiting) {
      std::size_t &Position = Kept[Request.Account];
      Duration Wait = this->waitFor(Request, Position + 1);
      if (this->fits(Request, Wait, Now))
        ++Position;
      else
        Given.push_back({Where, Request, Wait});
    }
  }
  std::vector<AdmissionChange> Changes;
  for (const Doomed &Each : Given) {
    this->remove(Each.Request.Class, Each.Where);
    Changes.push_back({.Ticket = AdmissionTicket{Each.Where.Ticket},
                       .Shed = this->shed(Each.Request, Each.Wait, Now)});
  }
  return Changes;
}

bool Admission::leave(AdmissionTicket Ticket) {
  auto Found = this->Places.find(Ticket);
  if (Found == this->Places.end())
    return false;
  Located Gone = Found->second;
  this->remove(Gone.Class, Gone.Where);
  return true;
}

} // namespace turmericpitch
