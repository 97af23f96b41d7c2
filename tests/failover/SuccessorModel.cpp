#include "tests/failover/SuccessorModel.h"

#include <algorithm>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;

constexpr int Failovers = 4;
constexpr std::uint32_t MaxStepsBetween = 40;
/// Rounds of queries in one failover.
constexpr int Rounds = 30;
constexpr Duration Tick = milliseconds(20);
/// Three heartbeats.
constexpr Duration EntryLifetime = milliseconds(3600);

} // namespace

TermPosition SuccessorModel::endOf(const Member &At) {
  if (At.Log.empty())
    return {};
  return {.WrittenIn = {At.Log.back().Term}, .Position = {At.Log.size()}};
}

std::uint32_t SuccessorModel::required() const {
  return std::min<std::uint32_t>(
      this->Options.SynchronousReplicas,
      static_cast<std::uint32_t>(this->Options.Replicas));
}

void SuccessorModel::recordStep(const std::string &Text) {
  this->Steps += "\n" + Text;
}

std::size_t SuccessorModel::addMember(std::uint16_t Port) {
  Member Added;
  Added.Registration.Id = {"m" + std::to_string(this->NextId++)};
  Added.Registration.Where = {.Address = "127.0.0.1", .Port = Port};
  this->Members.push_back(std::move(Added));
  return this->Members.size() - 1;
}

template <typename Condition>
std::optional<std::size_t> SuccessorModel::pickReplica(Condition Fits) {
  std::vector<std::size_t> Fitting;
  for (std::size_t Index = 0; Index < this->Members.size(); ++Index)
    if (Index != this->Primary && Fits(this->Members[Index]))
      Fitting.push_back(Index);
  if (Fitting.empty())
    return std::nullopt;
  return Fitting[this->Random.nextBelow(
      static_cast<std::uint32_t>(Fitting.size()))];
}

void SuccessorModel::write() {
  Member &At = this->Members[this->Primary];
  if (!At.Running)
    return;
  At.Log.push_back({.Term = this->Term, .Commit = this->NextCommit});
  this->recordStep("write " + std::to_string(this->NextCommit++));
}

void SuccessorModel::replicate() {
  const Member &From = this->Members[this->Primary];
  auto To = this->pickReplica(
      [](const Member &Each) { return Each.Running && !Each.Deaf; });
  if (!From.Running || !To)
    return;
  this->Members[*To].Log = From.Log;
  this->recordStep("replicate to " + this->Members[*To].Registration.Id.Value);
  this->acknowledge();
}

void SuccessorModel::acknowledge() {
  // The leases have ended: what is confirmed now stays in doubt for callers.
  if (this->Closed)
    return;
  const Member &From = this->Members[this->Primary];
  for (std::size_t Length = 1; Length <= From.Log.size(); ++Length) {
    std::uint32_t Holders = 0;
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index) {
      const Member &Each = this->Members[Index];
      Holders +=
          Index != this->Primary && Each.Running && Each.Log.size() >= Length &&
                  Each.Log[Length - 1].Commit == From.Log[Length - 1].Commit
              ? 1
              : 0;
    }
    int Commit = From.Log[Length - 1].Commit;
    if (Holders < std::max(1U, this->required()) ||
        !this->Acknowledged.insert(Commit).second)
      continue;
    ++this->Events.Acknowledged;
    this->recordStep("acknowledged " + std::to_string(Commit));
  }
}

void SuccessorModel::disturbReplicas() {
  auto Running = [](const Member &Each) { return Each.Running; };
  if (auto Index = this->pickReplica(Running); Index && this->chance(6)) {
    Member &Each = this->Members[*Index];
    Each.Deaf = !Each.Deaf;
    this->recordStep((Each.Deaf ? "deaf " : "hears ") +
                     Each.Registration.Id.Value);
  }
  if (auto Index = this->pickReplica(Running); Index && this->chance(10)) {
    this->Members[*Index].Registration.Draining = true;
    this->recordStep("drains " + this->Members[*Index].Registration.Id.Value);
  }
  if (auto Index = this->pickReplica(Running); Index && this->chance(14)) {
    Member &Each = this->Members[*Index];
    Each.Running = false;
    this->recordStep("ends " + Each.Registration.Id.Value);
    // A drained member removes its entry; that of a crashed one expires later.
    if (Each.Registration.Draining)
      this->unregister(Each);
  }
  auto Ended = this->pickReplica(
      [](const Member &Each) { return !Each.Running && !Each.Replaced; });
  if (Ended && this->chance(5))
    this->disturbEnded(*Ended);
}

void SuccessorModel::unregister(Member &Ended) {
  Ended.Registered = false;
  // An entry lasts for longer than the promoter goes without a list, except
  // while it can't read the store.
  if (!Ended.Listed)
    this->Now += EntryLifetime;
}

void SuccessorModel::disturbEnded(std::size_t Index) {
  Member &Former = this->Members[Index];
  bool Drained = Former.Registration.Draining;
  if (!Drained && Former.Registered && this->chance(2)) {
    this->recordStep("entry of " + Former.Registration.Id.Value + " expires");
    return this->unregister(Former);
  }
  if (!Drained && this->chance(2)) {
    // Started again, with its log or without.
    this->Now += SuccessorOptions().ReportValidity + Tick;
    Former.Running = Former.Registered = true;
    ++Former.Registration.StartedAt;
    if (Former.Listed && this->chance(2))
      Former.Log.clear();
    Former.Listed = false;
    return this->recordStep("starts again " + Former.Registration.Id.Value);
  }
  // Another member takes its address, with its log if it drained.
  std::vector<Entry> Log = Drained ? Former.Log : std::vector<Entry>{};
  std::uint16_t Port = Former.Registration.Where.Port;
  if (Former.Registered)
    this->unregister(Former);
  Former.Replaced = true;
  std::size_t Added = this->addMember(Port);
  this->Members[Added].Log = std::move(Log);
  this->recordStep("replaced by " + this->Members[Added].Registration.Id.Value +
                   (Drained ? " with its log" : ""));
}

void SuccessorModel::list() {
  this->Listed.clear();
  for (Member &Each : this->Members)
    if (Each.Registered) {
      Each.Listed = true;
      this->Listed.push_back(Each.Registration);
      if (this->Options.Fault == SuccessorFault::IgnoresNewStarts)
        this->Listed.back().StartedAt = 0;
    }
  this->ListedAt = this->Now;
  std::vector<RegisteredMember> Registered = this->Listed;
  if (this->Options.Fault == SuccessorFault::TrustsReplacementsOfLostMembers)
    for (RegisteredMember &Each : Registered)
      Each.Draining = true;
  this->History.onMembers(Registered, this->Now, this->Now);
}

void SuccessorModel::sample() {
  const Member &At = this->Members[this->Primary];
  if (!this->Asked && At.Running) {
    this->Asked = {.AskedAt = this->Now, .Reached = endOf(At)};
    return;
  }
  if (!this->Asked)
    return;
  if (this->Options.Fault == SuccessorFault::CoversBySamplesBeforeTheDeparture)
    this->Asked->AskedAt = this->Now;
  this->History.onSample(*this->Asked);
  this->Asked.reset();
}

void SuccessorModel::hear(std::size_t Index, bool BeforeClosing) {
  const Member &From = this->Members[Index];
  bool Uses = !BeforeClosing || this->Options.Fault ==
                                    SuccessorFault::UsesReportsBeforeTheClosing;
  if (!From.Running || !Uses)
    return;
  if (Index == this->Primary)
    this->PrimaryReport = endOf(From);
  else
    this->Reports.insert_or_assign(
        From.Registration.Id,
        LogReport{.Received = endOf(From), .ReceivedAt = this->Now});
}

SuccessorSearch SuccessorModel::search(bool Planned, TimePoint BeganAt,
                                       TimePoint ClosedAt) const {
  SuccessorFault Fault = this->Options.Fault;
  SuccessorSearch Search;
  Search.Reason = Planned ? FailoverReason::Leaving : FailoverReason::Lost;
  Search.SynchronousReplicas =
      Fault == SuccessorFault::IgnoresSynchronousReplicas
          ? 0
          : this->Options.SynchronousReplicas;
  Search.BeganAt = BeganAt;
  Search.ClosedAt = ClosedAt;
  Search.ListedAt = Fault == SuccessorFault::DecidesByAnOldList
                        ? std::optional(this->Now)
                        : this->ListedAt;
  if (Planned)
    Search.PrimaryPosition = this->PrimaryReport;
  if (Planned && Fault == SuccessorFault::PromotesBehindTheRunningPrimary &&
      Search.PrimaryPosition)
    Search.PrimaryPosition = TermPosition{};
  const UpstreamId &Former = this->Members[this->Primary].Registration.Id;
  for (const RegisteredMember &Each : this->Listed) {
    if (Each.Id == Former ||
        (Each.Draining && Fault == SuccessorFault::SkipsDrainingReplicas))
      continue;
    ReplicaState Replica{.Id = Each.Id, .Draining = Each.Draining};
    auto Report = this->Reports.find(Each.Id);
    if (Report != this->Reports.end())
      Replica.Report = Report->second;
    else if (Fault == SuccessorFault::SkipsSilentReplicas)
      continue;
    Search.Replicas.push_back(std::move(Replica));
  }
  if (Fault != SuccessorFault::ForgetsDepartedReplicas)
    for (DepartedReplica &Each : this->History.departed())
      if (Each.Id != Former)
        Search.Departed.push_back(std::move(Each));
  return Search;
}

std::optional<std::string> SuccessorModel::promote(const UpstreamId &Target) {
  auto Found = std::ranges::find_if(this->Members, [&](const Member &Each) {
    return Each.Registration.Id == Target;
  });
  // A promotion of a member that has ended is refused.
  if (!Found->Running)
    return std::nullopt;
  this->recordStep("promote " + Target.Value);
  ++this->Events.Promotions;
  this->Events.PromotionsOfDraining += Found->Registration.Draining ? 1 : 0;
  for (int Commit : this->Acknowledged)
    if (std::ranges::find(Found->Log, Commit, &Entry::Commit) ==
        Found->Log.end())
      return "commit " + std::to_string(Commit) +
             " was acknowledged and is missing" + this->Steps;
  this->Primary = static_cast<std::size_t>(Found - this->Members.begin());
  ++this->Term;
  // Replicas that were ahead are rolled back.
  for (Member &Each : this->Members)
    if (Each.Running && Each.Log.size() > Found->Log.size())
      Each.Log = Found->Log;
  return std::nullopt;
}

std::optional<std::string> SuccessorModel::failOver() {
  bool Planned = this->chance(3);
  this->Reports.clear();
  this->PrimaryReport.reset();
  for (std::size_t Index = 0; Index < this->Members.size(); ++Index)
    this->hear(Index, true);
  this->write();
  this->replicate();
  TimePoint Began = this->Now += Tick;
  this->Closed = true;
  this->recordStep(Planned ? "hand over" : "primary lost");
  this->Members[this->Primary].Running = Planned;
  std::size_t Former = this->Primary;
  for (int Round = 0; Round < Rounds; ++Round) {
    this->Now += Tick * (1 + this->Random.nextBelow(8));
    // Nothing is written while the record is closed; what was written may still
    // arrive.
    if (Planned && this->chance(2))
      this->replicate();
    this->disturbReplicas();
    if (this->chance(2))
      this->list();
    for (std::size_t Index = 0; Index < this->Members.size(); ++Index)
      if (this->chance(2))
        this->hear(Index, false);
    if (!Planned && this->chance(20)) {
      // It comes back with its log, and nobody else was promoted.
      this->Members[Former].Running = true;
      ++this->Members[Former].Registration.StartedAt;
      break;
    }
    // From then on, service goes before durability.
    if (this->Now - Began >= SuccessorOptions().HolderTimeout)
      break;
    SuccessorDecision Decision =
        decideSuccessor({}, this->search(Planned, Began, Began), this->Now);
    this->Events.Waits += Decision.Action == SuccessorAction::Wait ? 1 : 0;
    if (Decision.Action == SuccessorAction::KeepPrimary) {
      ++this->Events.Kept;
      break;
    }
    if (Decision.Action != SuccessorAction::Promote)
      continue;
    if (auto Loss = this->promote(Decision.Target))
      return Loss;
    if (this->Primary == Former)
      continue;
    this->Events.HandOvers += Planned ? 1 : 0;
    return std::nullopt;
  }
  // The lost primary is back in the end.
  this->Members[Former].Running = true;
  return std::nullopt;
}

std::optional<std::string> SuccessorModel::run() {
  for (std::size_t Index = 0; Index <= this->Options.Replicas; ++Index)
    this->addMember(static_cast<std::uint16_t>(1 + Index));
  // Some promoters start later than the service.
  bool Knows = this->chance(2);
  for (int Failover = 0; Failover < Failovers; ++Failover) {
    std::uint32_t Steps = this->Random.nextBelow(MaxStepsBetween);
    for (std::uint32_t Step = 0; Step < Steps; ++Step) {
      this->Now += Tick;
      if (this->chance(2))
        this->write();
      this->replicate();
      this->disturbReplicas();
      if (Knows && this->chance(4))
        this->list();
      if (Knows && this->chance(4))
        this->sample();
    }
    Knows = true;
    if (auto Loss = this->failOver())
      return Loss;
    this->Closed = false;
    this->Asked.reset();
  }
  return std::nullopt;
}

} // namespace turmericpitch
