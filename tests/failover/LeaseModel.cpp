#include "tests/failover/LeaseModel.h"

#include <algorithm>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;

constexpr int StepsPerRun = 8000;
constexpr Duration Step = milliseconds(5);
/// The longest time from an order until the member is primary.
constexpr int LongestOrder = 2500;
constexpr int OldestCopy = 3000;
constexpr Duration TakeOverAfter = milliseconds(3500);
const ServiceId Service{"ledger"};

} // namespace

LeaseModel::Instance::Instance(const PromotionRulesOptions &Rules,
                               const GrantorMaintenanceOptions &Upkeep)
    : Leases(Rules.Leases), Grants({.MaxUse = Rules.Leases.maxUse()}),
      Upkeep(Upkeep) {}

LeaseModel::LeaseModel(std::uint64_t Seed, LeaseModelProfile Profile,
                       LeaseFault Fault)
    : Random(Seed), Fault(Fault),
      // Shorter than in use, so that a run covers many changes.
      Rules{.RecordValidity = milliseconds(4000),
            .RecordValidityMargin = milliseconds(100)},
      Upkeep{.MaxCount = 3,
             .MissingTimeout = milliseconds(200),
             .StableListTime = milliseconds(0),
             .MinAge = milliseconds(4100)},
      Verifying{.LeaseTimeout = milliseconds(5000)}, Profile(Profile),
      Now(milliseconds(100'000)) {
  this->Store.Record = {.Service = Service,
                        .Epoch = 1,
                        .Primary = {"m1"},
                        .Stored = this->position(this->Store.Revision)};
  this->Store.Set = {
      .Current = {this->grantor(0), this->grantor(1), this->grantor(2)},
      .Stored = this->position(this->Store.Revision)};
  this->noteEpoch(this->Store.Record);
  for (int Index = 0; Index < InstanceCount; ++Index)
    this->Instances.emplace_back(this->Rules, this->Upkeep);
}

std::optional<std::string> LeaseModel::run() {
  for (int Count = 0; Count < StepsPerRun; ++Count) {
    this->Now += Step;
    if (this->Now >= this->EffectiveFrom)
      this->Effective = this->Ordered;
    if (Count % 20 == 0)
      this->Snapshots.push_back({.TakenAt = this->Now, .Copy = this->Store});
    while (this->Now - this->Snapshots.front().TakenAt >
           milliseconds(OldestCopy))
      this->Snapshots.pop_front();
    if (this->Random.chance(this->Profile.DisturbChance))
      this->disturb();
    if (this->Random.chance(this->Profile.RegistryChance))
      this->Unlisted = this->Random.nextBelow(InstanceCount + 1);
    this->restore();
    this->applyLateWrites();
    int Index = static_cast<int>(this->Random.nextBelow(InstanceCount));
    if (this->Instances[Index].PausedUntil <= this->Now)
      this->step(Index);
    if (auto Violation = this->violation())
      return Violation;
  }
  return std::nullopt;
}

Duration LeaseModel::upTo(int Milliseconds) {
  return milliseconds(this->Random.nextBelow(Milliseconds));
}

Grantor LeaseModel::grantor(int Index) const {
  return {.Id = {std::to_string(Index)},
          .PeerEndpoint = {.Address = "10.0.0." + std::to_string(Index + 1),
                           .Port = 7440}};
}

std::optional<int> LeaseModel::indexOf(const Grantor &Each) const {
  return std::stoi(Each.Id.Value);
}

bool LeaseModel::reachesStore(const Instance &I) const {
  return !I.StoreUnavailable.covers(this->Now);
}

bool LeaseModel::reachable(int Index) const {
  const Instance &I = this->Instances[Index];
  return I.PausedUntil <= this->Now && !I.Unreachable.covers(this->Now);
}

Revision LeaseModel::position(std::uint64_t InEra) const {
  return positionInHistory(this->Era, InEra);
}

/// For a random interval, the store serves at most two instances, of which one
/// may be unreachable for the others.
void LeaseModel::disturb() {
  TimePoint From = this->Now + this->upTo(400);
  Interval Away{.From = From,
                .Until =
                    From +
                    Duration(static_cast<Duration::rep>(this->Random.nextBelow(
                        this->Profile.LongestDisturbance.count())))};
  int First = static_cast<int>(this->Random.nextBelow(InstanceCount));
  int Second = static_cast<int>(this->Random.nextBelow(InstanceCount));
  for (int Index = 0; Index < InstanceCount; ++Index)
    if ((Index != First && Index != Second) || this->Random.chance(0.3))
      this->Instances[Index].StoreUnavailable = Away;
  if (this->Random.chance(0.5))
    this->Instances[First].Unreachable = Away;
  if (this->Random.chance(0.2))
    this->restart(Second);
}

void LeaseModel::restore() {
  if (this->RestoreAt && this->Now >= *this->RestoreAt) {
    this->RestoreAt.reset();
    return this->restoreTo(0);
  }
  if (this->Random.chance(this->Profile.RestoreChance))
    this->restoreTo(this->Random.nextBelow(this->Snapshots.size()));
}

void LeaseModel::restoreTo(std::size_t Copy) {
  ++this->Events.Restores;
  this->Store = Content(this->Snapshots[Copy].Copy);
  ++this->Era.Value;
  // The copy's entries keep the revisions that the store gave out, in the new
  // era.
  auto Renumber = [&](Revision Each) {
    return Each == Revision{} ? Each : this->position(storeRevisionOf(Each));
  };
  this->Store.Record.Stored = Renumber(this->Store.Record.Stored);
  this->Store.Set.Stored = Renumber(this->Store.Set.Stored);
  this->Snapshots.clear();
  this->Snapshots.push_back({.TakenAt = this->Now, .Copy = this->Store});
}

void LeaseModel::applyLateWrites() {
  std::erase_if(this->LateWrites, [&](LateWrite &Each) {
    if (Each.ArrivesAt > this->Now)
      return false;
    // The store compares what it gave out, and knows of no eras.
    bool Holds =
        storeRevisionOf(Each.Record) ==
            storeRevisionOf(this->Store.Record.Stored) &&
        storeRevisionOf(Each.Set) == storeRevisionOf(this->Store.Set.Stored);
    if (!Holds)
      return true;
    Each.Next.Stored = this->position(++this->Store.Revision);
    this->Store.Record = Each.Next;
    return true;
  });
}

void LeaseModel::step(int Index) {
  Instance &I = this->Instances[Index];
  if (I.Changing)
    this->continueChange(I);
  if (I.Unverified)
    this->verify(Index);
  double Action = this->Random.fraction();
  if (Action < 0.10)
    this->readStore(I);
  else if (Action < 0.25)
    this->queryRelay(I,
                     static_cast<int>(this->Random.nextBelow(InstanceCount)));
  else if (Action < 0.55)
    this->requestGrants(Index);
  else if (Action < 0.585)
    I.PausedUntil = this->Now + this->upTo(4000);
  else if (Action < 0.589)
    this->restart(Index);
  else if (Action < 0.65)
    this->maintainGrantors(I);
  else if (Action < 0.65 + this->Profile.ChangeChance)
    this->beginChange(I);
}

void LeaseModel::restart(int Index) {
  Instance Before = std::move(this->Instances[Index]);
  this->Instances[Index] = Instance(this->Rules, this->Upkeep);
  this->Instances[Index].StoreUnavailable = Before.StoreUnavailable;
  this->Instances[Index].Unreachable = Before.Unreachable;
}

void LeaseModel::readStore(Instance &I) {
  if (!this->reachesStore(I))
    return;
  bool Verified = this->Store.Set.VerifiedEra == this->Era;
  if (!Verified && this->Fault != LeaseFault::TrustsUnverifiedRecords) {
    if (I.Unverified != this->Era) {
      I.UnverifiedSince = this->Now;
      I.Verification.reset();
    }
    I.Unverified = this->Era;
    I.UnverifiedCopy = this->Store;
    return;
  }
  // The reply arrives up to 200 ms after the request.
  this->onVerifiedRead(I, this->Now - this->upTo(200));
}

void LeaseModel::onVerifiedRead(Instance &I, TimePoint ReadSentAt) {
  I.Unverified.reset();
  I.Set = this->Store.Set;
  I.HasRead = true;
  I.Leases.onListing({this->Store.Record},
                     {.ReadSentAt = ReadSentAt, .Grantors = I.Set.Stored});
  const PrimaryRecord &Record = this->Store.Record;
  if (Record.Phase == PrimaryPhase::Open) {
    I.SeenClosing = {};
    I.SeenClosingSince = {};
  } else if (I.SeenClosing != Record.ClosedFrom ||
             I.SeenClosingSince == TimePoint{}) {
    I.SeenClosing = Record.ClosedFrom;
    I.SeenClosingSince = this->Now;
  }
}

void LeaseModel::queryRelay(Instance &I, int Source) {
  const Instance &Other = this->Instances[Source];
  auto Evidence = Other.Leases.evidence(Service);
  if (&I == &Other || !Evidence || !this->reachable(Source))
    return;
  // The reply took up to 50 ms.
  Duration Delay = this->upTo(50);
  I.Leases.onRecord(
      *Other.Leases.record(Service),
      {.ReadSentAt = Evidence->ReadSentAt - Delay,
       .GrantedAt = std::max(Evidence->ReadSentAt, Evidence->GrantedAt) - Delay,
       .Grantors = Evidence->Grantors});
}

LeaseReply LeaseModel::replyOf(int Index, bool WantsGrants) {
  Instance &I = this->Instances[Index];
  LeaseReply Reply{.Serial = 1};
  Reply.RemembersGrants = I.HasRead;
  const PrimaryRecord *Record = I.Leases.record(Service);
  if (!Record)
    return Reply;
  ServiceReport Report{.Record = *Record};
  if (this->Fault != LeaseFault::VerifiesWithoutConsents)
    Report.ConsentedTo = I.Grants.consentedTo(Service);
  bool MayGrant = I.HasRead;
  Report.Granted = WantsGrants && MayGrant && !I.Changing &&
                   I.Grants.grant(*Record, this->Now);
  Reply.Services = {Report};
  return Reply;
}

void LeaseModel::requestGrants(int Index) {
  Instance &I = this->Instances[Index];
  auto Evidence = I.Leases.evidence(Service);
  if (!Evidence || I.Set.Current.empty())
    return;
  // Replies arrive up to 100 ms after the request.
  TimePoint SentAt = this->Now - this->upTo(100);
  GrantRound Round(1, SentAt, I.Set);
  for (const Grantor &Each : I.Set.Current) {
    int Other = *this->indexOf(Each);
    bool Own = Other == Index;
    if (!Own && (!this->reachable(Other) || !this->reachable(Index)))
      continue;
    for (const GrantedEpoch &Granted :
         Round.onReply(Each, this->replyOf(Other, true))) {
      if (!mayExtendLease(this->Rules, *Evidence, Round))
        continue;
      I.Leases.onGranted(Service, Granted.Epoch, SentAt);
      ++this->Events.Grants;
    }
  }
}

bool LeaseModel::writeRecord(Instance &I, PrimaryRecord Expected,
                             PrimaryRecord &Next) {
  if (!this->reachesStore(I))
    return false;
  // The client refuses conditions of an earlier era than it knows of.
  StoreEra Known =
      std::max(eraOf(I.Set.Stored), I.Unverified.value_or(StoreEra{}));
  StoreEra Oldest = std::min(eraOf(I.Set.Stored), eraOf(Expected.Stored));
  if (Oldest < Known && this->Fault != LeaseFault::WritesAcrossEras)
    return false;
  Next.Stored = Expected.Stored;
  if (this->Random.chance(0.05)) {
    // The call seems lost; the store makes it later.
    this->LateWrites.push_back({.ArrivesAt = this->Now + this->upTo(3000),
                                .Record = Expected.Stored,
                                .Set = I.Set.Stored,
                                .Next = Next});
    return false;
  }
  bool Holds =
      storeRevisionOf(Expected.Stored) ==
          storeRevisionOf(this->Store.Record.Stored) &&
      storeRevisionOf(I.Set.Stored) == storeRevisionOf(this->Store.Set.Stored);
  if (!Holds)
    return false;
  Next.Stored = this->position(++this->Store.Revision);
  this->Store.Record = Next;
  // The reply tells the era.
  if (eraOf(I.Set.Stored) != this->Era &&
      this->Fault != LeaseFault::WritesAcrossEras)
    return false;
  I.Leases.onRecord(Next, {.ReadSentAt = this->Now, .Grantors = I.Set.Stored});
  return true;
}

void LeaseModel::beginChange(Instance &I) {
  const PrimaryRecord *Record = I.Leases.record(Service);
  if (!Record || I.Changing || !I.HasRead || I.Unverified)
    return;
  PrimaryRecord Next = *Record;
  if (Record->Phase == PrimaryPhase::Open) {
    Next.Phase = PrimaryPhase::Closing;
    Next.ClosedFrom = Record->Stored;
    return this->startChange(I, Next);
  }
  // An unfinished change is taken over.
  bool Seen =
      I.SeenClosingSince != TimePoint{} && I.SeenClosing == Record->ClosedFrom;
  if (Seen && this->Now - I.SeenClosingSince >= TakeOverAfter)
    this->startChange(I, Next);
}

void LeaseModel::startChange(Instance &I, PrimaryRecord Next) {
  PrimaryRecord Expected = *I.Leases.record(Service);
  if (!this->writeRecord(I, Expected, Next))
    return;
  bool Seen =
      I.SeenClosingSince != TimePoint{} && I.SeenClosing == Next.ClosedFrom;
  if (!Seen) {
    I.SeenClosing = Next.ClosedFrom;
    I.SeenClosingSince = this->Now;
  }
  GrantorSet Set = I.Set;
  I.Changing = Change{
      .Record = Next,
      .Progress = {.ClosedAt = I.SeenClosingSince},
      .Consents = ConsentRound(
          {.Serial = 1, .Service = Service, .Closed = Next.Stored}, Set)};
}

void LeaseModel::requestConsents(Instance &I) {
  Change &C = *I.Changing;
  for (const Grantor &Each : C.Consents.grantors().all()) {
    int Index = *this->indexOf(Each);
    Instance &Other = this->Instances[Index];
    if (&Other != &I && (!this->reachable(Index) || this->Random.chance(0.5)))
      continue;
    Other.Grants.consent(Service, C.Record.Stored);
    C.Consents.onConsent(Each, 1, this->Now);
  }
  C.Progress.ConsentedAt = C.Consents.completedAt();
  if (this->Fault == LeaseFault::PromotesWithoutConsent)
    C.Progress.ConsentedAt = C.Progress.ClosedAt;
}

void LeaseModel::continueChange(Instance &I) {
  Change &C = *I.Changing;
  if (C.Ordered)
    return this->finishChange(I);
  if (!C.Progress.ConsentedAt && !I.Unreachable.covers(this->Now))
    this->requestConsents(I);
  TimePoint Allowed = std::max(earliestPromotion(this->Rules, C.Progress),
                               I.Grants.grantedUntil(Service));
  if (this->Fault == LeaseFault::PromotesWithoutWaiting)
    Allowed = this->Now;
  if (this->Now >= Allowed)
    this->order(I);
}

void LeaseModel::order(Instance &I) {
  Change &C = *I.Changing;
  bool OldIsPrimary = this->Effective == C.Record.Primary;
  bool MayReopen = C.Record.Phase == PrimaryPhase::Closing && OldIsPrimary;
  if (MayReopen && this->Random.chance(0.2)) {
    PrimaryRecord Next{.Service = Service,
                       .Epoch = C.Record.Epoch,
                       .Primary = C.Record.Primary};
    if (this->writeRecord(I, C.Record, Next))
      this->noteEpoch(Next);
    I.Changing.reset();
    return;
  }
  PrimaryRecord Next = C.Record;
  Next.Phase = PrimaryPhase::Ordered;
  // A member that an earlier order has made primary is kept.
  bool Keep = !OldIsPrimary && C.Record.Phase != PrimaryPhase::Open &&
              this->Effective != C.Record.Primary;
  Next.Target =
      Keep ? this->Effective
           : UpstreamId{"m" + std::to_string(2 + this->Events.Promotions)};
  if (!this->writeRecord(I, C.Record, Next)) {
    I.Changing.reset();
    return;
  }
  C.Record = Next;
  C.Ordered = true;
  C.OrderedAt = this->Now;
  if (this->Ordered == Next.Target)
    return;
  ++this->Events.Promotions;
  if (this->Random.chance(this->Profile.RestoreAfterOrderChance))
    this->RestoreAt = this->Now + this->upTo(800);
  this->Ordered = Next.Target;
  this->EffectiveFrom = this->Now + this->upTo(LongestOrder);
}

void LeaseModel::finishChange(Instance &I) {
  Change &C = *I.Changing;
  if (this->Effective != C.Record.Target) {
    if (this->Now - C.OrderedAt > milliseconds(LongestOrder))
      I.Changing.reset();
    return;
  }
  PrimaryRecord Next{.Service = Service,
                     .Epoch = C.Record.Epoch + 1,
                     .Primary = C.Record.Target};
  if (this->writeRecord(I, C.Record, Next))
    this->noteEpoch(Next);
  I.Changing.reset();
}

void LeaseModel::maintainGrantors(Instance &I) {
  std::vector<RegisteredInstance> Listed;
  for (int Index = 0; Index < InstanceCount; ++Index)
    if (static_cast<std::size_t>(Index) != this->Unlisted)
      Listed.push_back({.Id = this->grantor(Index).Id,
                        .PeerEndpoint = this->grantor(Index).PeerEndpoint,
                        .Zone = {"z" + std::to_string(Index)}});
  if (!this->reachesStore(I) || I.Unverified || !I.HasRead)
    return;
  auto Next = I.Upkeep.update(I.Set, Listed, this->Now);
  bool Holds =
      storeRevisionOf(I.Set.Stored) == storeRevisionOf(this->Store.Set.Stored);
  if (!Next || !Holds)
    return;
  Next->Stored = this->position(++this->Store.Revision);
  this->Store.Set = *Next;
  ++this->Events.SetChanges;
}

void LeaseModel::verify(int Index) {
  Instance &I = this->Instances[Index];
  if (!I.Verification || I.Verification->era() != *I.Unverified)
    I.Verification.emplace(*I.Unverified,
                           I.Set.Stored != Revision{} ? I.Set
                                                      : I.UnverifiedCopy.Set,
                           I.UnverifiedSince, this->Verifying);
  for (const Grantor &Each : I.Verification->grantors().all()) {
    int Other = *this->indexOf(Each);
    if (Other != Index && (!this->reachable(Other) || !this->reachable(Index) ||
                           this->Random.chance(0.5)))
      continue;
    I.Verification->onReply(Each, this->replyOf(Other, false));
  }
  if (I.Verification->status(this->Now) != VerificationStatus::Waiting &&
      this->reachesStore(I) && this->Random.chance(0.2))
    this->writeVerified(I);
}

void LeaseModel::writeVerified(Instance &I) {
  bool Complete =
      I.Verification->status(this->Now) == VerificationStatus::Complete;
  std::vector<PrimaryRecord> Records =
      I.Verification->verified({I.UnverifiedCopy.Record}, this->Now);
  bool Holds = *I.Unverified == this->Era &&
               I.UnverifiedCopy.Record.Stored == this->Store.Record.Stored &&
               I.UnverifiedCopy.Set.Stored == this->Store.Set.Stored;
  if (!Holds || Records.empty())
    return;
  ++(Complete ? this->Events.CompleteVerifications
              : this->Events.UnknownVerifications);
  PrimaryRecord Next = Records.front();
  if (this->Fault == LeaseFault::ReusesEpochs &&
      Next.Phase != PrimaryPhase::Open)
    Next.Epoch = I.UnverifiedCopy.Record.Epoch;
  Next.Stored = this->position(++this->Store.Revision);
  GrantorSet Set = I.Verification->grantors();
  Set.VerifiedEra = this->Era;
  Set.Stored = Next.Stored;
  this->Store.Record = Next;
  this->Store.Set = Set;
  if (Next.Phase == PrimaryPhase::Open)
    this->noteEpoch(Next);
}

void LeaseModel::noteEpoch(const PrimaryRecord &Record) {
  auto [Known, Added] = this->Epochs.try_emplace(Record.Epoch, Record.Primary);
  if (!Added && Known->second != Record.Primary)
    this->EpochViolation = "epoch " + std::to_string(Record.Epoch) +
                           " stands for " + Known->second.Value + " and " +
                           Record.Primary.Value;
}

std::optional<std::string> LeaseModel::violation() const {
  if (this->EpochViolation)
    return this->EpochViolation;
  for (const Instance &I : this->Instances) {
    auto Lease = I.Leases.lease(Service);
    if (Lease && Lease->ExpiresAt > this->Now &&
        Lease->Primary != this->Ordered)
      return "a lease on " + Lease->Primary.Value + " after " +
             this->Ordered.Value + " was ordered to be primary";
  }
  return std::nullopt;
}

} // namespace turmericpitch
