// Searches random interleavings of leases, promises and promotions for an
// instance whose lease is still valid after another member was promoted.
#include "core/RandomSource.h"
#include "failover/LeaseRound.h"
#include "failover/PromotionRules.h"
#include "membership/InstanceRegistry.h"

#include <gtest/gtest.h>
#include <memory>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Seeds = 400;
constexpr int StepsPerRun = 6000;
constexpr Duration Step = milliseconds(5);
const ServiceId Service{"ledger"};

/// The rule that the model disables, to verify that the search detects this.
enum class Fault {
  None,
  PromotesWithoutWaiting,
  ClosesBeforeRegistrationAge,
  ListedAfterRecordRead,
  ClosesAfterRetiring,
};

/// The store with one record, the registrations and a revision.
struct ModelStore {
  struct Registration {
    std::uint64_t Revision = 0;
  };

  std::uint64_t Revision = 10;
  PrimaryRecord Record;
  std::map<int, Registration> Instances;
};

/// One instance, with the real classes for leases and promises.
struct ModelInstance {
  explicit ModelInstance(const PromotionRulesOptions &Rules)
      : Leases(Rules.Leases) {}

  PrimaryLeases Leases;
  LeaseGrants Grants;
  /// The registrations as of the last read.
  std::map<int, std::uint64_t> Listing;
  std::optional<TimePoint> ListedAt;
  /// Registrations of others that have reported to be retired.
  std::map<int, std::uint64_t> RetiredRegistration;
  /// The instance is stopping and starts no further change of primary.
  bool Stopping = false;
  std::optional<TimePoint> RegisteredAt;
  std::uint64_t RegistrationRevision = 0;
  bool HasRead = false;
  /// A change of primary is in progress.
  bool ChangingPrimary = false;
  std::optional<TimePoint> PromoteAt;
  std::uint64_t ClosedRevision = 0;
  TimePoint PausedUntil;
  /// The time interval of a fault.
  struct Interval {
    TimePoint From;
    TimePoint Until;

    [[nodiscard]] bool covers(TimePoint Now) const {
      return this->From <= Now && Now < this->Until;
    }
  };
  /// The store refuses this instance.
  Interval StoreUnavailable;
  /// Other instances get no reply from this one.
  Interval Unreachable;
};

class LeaseModel {
public:
  LeaseModel(std::uint64_t Seed, Fault Disabled)
      : Random(Seed), Disabled(Disabled), RegistrationsVanish(Seed % 2 == 0) {
    this->Store.Record = {.Service = Service,
                          .Epoch = 1,
                          .Primary = {"m1"},
                          .Stored = {this->Store.Revision}};
    for (int Index = 0; Index < InstanceCount; ++Index)
      this->Instances.emplace_back(this->Rules);
  }

  /// Returns a description of the first violation, or nothing.
  std::optional<std::string> run() {
    for (int Count = 0; Count < StepsPerRun; ++Count) {
      this->Now += Step;
      if (this->Random.chance(0.002))
        this->restrictStoreAccess();
      int Index = static_cast<int>(this->Random.nextBelow(InstanceCount));
      if (this->Instances[Index].PausedUntil <= this->Now)
        this->step(Index);
      if (auto Violation = this->violation())
        return Violation;
    }
    return std::nullopt;
  }

  int promotions() const { return this->Promotions; }
  int extensions() const { return this->Extensions; }
  int retirements() const { return this->Retirements; }

private:
  static constexpr int InstanceCount = 3;

  /// For a random interval that starts soon, the store serves at most one
  /// instance, which may be unreachable for the others and may be stopping.
  void restrictStoreAccess() {
    int Served = static_cast<int>(this->Random.nextBelow(InstanceCount + 1));
    TimePoint From = this->Now + milliseconds(this->Random.nextBelow(400));
    ModelInstance::Interval Interval{
        .From = From,
        .Until = From + milliseconds(this->Random.nextBelow(4000))};
    for (int Index = 0; Index < InstanceCount; ++Index)
      if (Index != Served)
        this->Instances[Index].StoreUnavailable = Interval;
    if (Served == InstanceCount || this->Random.chance(0.5))
      return;
    this->Instances[Served].Unreachable = Interval;
    if (this->Random.chance(0.3))
      this->Instances[Served].Stopping = true;
  }
  [[nodiscard]] bool isReachable(const ModelInstance &I) const {
    return I.PausedUntil <= this->Now && !I.Unreachable.covers(this->Now);
  }
  [[nodiscard]] bool reachesStore(const ModelInstance &I) const {
    return !I.StoreUnavailable.covers(this->Now);
  }

  void step(int Index) {
    ModelInstance &I = this->Instances[Index];
    if (I.PromoteAt && *I.PromoteAt <= this->Now)
      return this->promote(I);
    double Action = this->Random.fraction();
    if (Action < 0.05)
      this->readRecord(I);
    else if (Action < 0.07)
      this->listInstances(Index);
    else if (Action < 0.40)
      this->queryAll(Index);
    else if (Action < 0.45)
      this->closeRecord(Index);
    else if (Action < 0.455)
      I.PausedUntil = this->Now + milliseconds(this->Random.nextBelow(4000));
    else if (Action < 0.459)
      this->restart(Index);
    else if (Action < 0.4605)
      I.Stopping = true;
    else if (Action < (this->RegistrationsVanish ? 0.47 : 0.461))
      // A registration disappears without the instance noticing.
      this->Store.Instances.erase(Index);
  }

  void restart(int Index) {
    ModelInstance Before = this->Instances[Index];
    this->Instances[Index] = ModelInstance(this->Rules);
    this->Instances[Index].StoreUnavailable = Before.StoreUnavailable;
    this->Instances[Index].Unreachable = Before.Unreachable;
  }

  void readRecord(ModelInstance &I) {
    if (!this->reachesStore(I))
      return;
    // The reply arrives up to 200 ms after the request.
    TimePoint ReadSentAt =
        this->Now - milliseconds(this->Random.nextBelow(200));
    I.Leases.onListing({this->Store.Record}, ReadSentAt);
    I.HasRead = true;
  }

  void listInstances(int Index) {
    ModelInstance &I = this->Instances[Index];
    if (!this->reachesStore(I))
      return;
    auto Own = this->Store.Instances.find(Index);
    if (Own == this->Store.Instances.end() ||
        Own->second.Revision != I.RegistrationRevision) {
      I.RegistrationRevision = ++this->Store.Revision;
      this->Store.Instances[Index] = {.Revision = I.RegistrationRevision};
      I.RegisteredAt = this->Now;
    }
    I.Listing.clear();
    for (const auto &[Each, Registration] : this->Store.Instances)
      I.Listing[Each] = Registration.Revision;
    I.ListedAt = this->Now;
  }

  bool hasRetired(const ModelInstance &Querier, int Index) const {
    auto Report = Querier.RetiredRegistration.find(Index);
    return Report != Querier.RetiredRegistration.end() &&
           Report->second == Querier.Listing.at(Index);
  }

  bool mayPromise(const ModelInstance &I) const {
    return I.HasRead && !I.ChangingPrimary;
  }

  void queryAll(int Index) {
    ModelInstance &I = this->Instances[Index];
    const PrimaryRecord *Record = I.Leases.record(Service);
    if (!Record || !I.ListedAt || !this->mayPromise(I))
      return;
    std::set<InstanceId> Queried;
    for (const auto &[Each, Revision] : I.Listing)
      if (Each != Index && !this->hasRetired(I, Each))
        Queried.insert({std::to_string(Each)});
    // Replies arrive up to 100 ms after the query.
    TimePoint QueriesSentAt =
        this->Now - milliseconds(this->Random.nextBelow(100));
    LeaseRound Round(1, QueriesSentAt, Queried);
    for (const auto &[Each, Revision] : I.Listing)
      if (Each != Index && this->isReachable(this->Instances[Each]) &&
          this->isReachable(I))
        this->reply(Round, I, Each, QueriesSentAt);
    Duration MaxUse = this->Rules.Leases.maxUse();
    std::vector<GrantedEpoch> All = Round.granted();
    // A single instance needs no promise of others.
    if (Queried.empty())
      All = {{.Service = Service, .Epoch = I.Leases.record(Service)->Epoch}};
    for (const GrantedEpoch &Granted : All) {
      auto Until = leaseExtensionEnd(this->Rules,
                                     this->extensionBasis(I, QueriesSentAt));
      if (!Until || Granted.Epoch != I.Leases.record(Service)->Epoch)
        continue;
      I.Grants.grant(Service, MaxUse, this->Now);
      I.Leases.extend(Service, Granted.Epoch, *Until);
      ++this->Extensions;
    }
  }

  LeaseExtensionBasis extensionBasis(const ModelInstance &I,
                                     TimePoint QueriesSentAt) const {
    TimePoint RecordReadAt = *I.Leases.readSentAt(Service);
    if (this->Disabled == Fault::ListedAfterRecordRead)
      RecordReadAt = std::max(RecordReadAt, *I.ListedAt);
    return {.ListedAt = *I.ListedAt,
            .RecordReadAt = RecordReadAt,
            .QueriesSentAt = QueriesSentAt};
  }

  void reply(LeaseRound &Round, ModelInstance &Querier, int Index,
             TimePoint QueriesSentAt) {
    ModelInstance &I = this->Instances[Index];
    const PrimaryRecord *Record = I.Leases.record(Service);
    LeaseReply Reply{.Serial = 1};
    if (I.Stopping && !I.ChangingPrimary && I.RegistrationRevision != 0) {
      Querier.RetiredRegistration[Index] = I.RegistrationRevision;
      ++this->Retirements;
    }
    if (Record) {
      ServiceReport Report{.Record = *Record};
      Report.Age = this->Now - *I.Leases.readSentAt(Service);
      Report.Granted =
          Record->Phase == PrimaryPhase::Open && this->mayPromise(I);
      if (Report.Granted)
        I.Grants.grant(Service, this->Rules.Leases.maxUse(), this->Now);
      Reply.Services = {Report};
      Querier.Leases.onRecord(Report.Record, QueriesSentAt - Report.Age);
    }
    Round.onReply({std::to_string(Index)}, Reply);
  }

  void closeRecord(int Index) {
    ModelInstance &I = this->Instances[Index];
    const PrimaryRecord *Record = I.Leases.record(Service);
    bool OldEnough = this->Disabled == Fault::ClosesBeforeRegistrationAge ||
                     mayCloseRecord(this->Rules, I.RegisteredAt, this->Now);
    bool Retired = I.Stopping && this->Disabled != Fault::ClosesAfterRetiring;
    if (!this->reachesStore(I) || I.ChangingPrimary || Retired || !Record ||
        !OldEnough || !I.RegisteredAt)
      return;
    auto Own = this->Store.Instances.find(Index);
    bool Registered = Own != this->Store.Instances.end() &&
                      Own->second.Revision == I.RegistrationRevision;
    if (!Registered || Record->Stored != this->Store.Record.Stored)
      return;
    PrimaryRecord Next = this->Store.Record;
    Next.Phase = PrimaryPhase::Closing;
    Next.Stored = {++this->Store.Revision};
    this->Store.Record = Next;
    I.Leases.onRecord(Next, this->Now);
    I.ChangingPrimary = true;
    I.ClosedRevision = Next.Stored.Value;
    I.PromoteAt = earliestPromotion(this->Rules, this->Now,
                                    I.Grants.grantedUntil(Service));
    if (this->Disabled == Fault::PromotesWithoutWaiting)
      I.PromoteAt = this->Now;
  }

  void promote(ModelInstance &I) {
    I.PromoteAt.reset();
    I.ChangingPrimary = false;
    if (!this->reachesStore(I) ||
        this->Store.Record.Stored.Value != I.ClosedRevision)
      return;
    ++this->Promotions;
    PrimaryRecord Next = this->Store.Record;
    Next.Phase = PrimaryPhase::Open;
    Next.Epoch += 1;
    Next.Primary = {"m" + std::to_string(Next.Epoch)};
    Next.Stored = {++this->Store.Revision};
    this->Store.Record = Next;
    this->Newest = Next.Epoch;
    I.Leases.onRecord(Next, this->Now);
  }

  std::optional<std::string> violation() const {
    for (const ModelInstance &I : this->Instances) {
      auto Lease = I.Leases.lease(Service);
      if (Lease && Lease->ExpiresAt > this->Now && Lease->Epoch < this->Newest)
        return "a lease of epoch " + std::to_string(Lease->Epoch) +
               " while epoch " + std::to_string(this->Newest) + " is active";
    }
    return std::nullopt;
  }

  RandomSource Random;
  Fault Disabled;
  /// Whether registrations disappear often; else they do so rarely.
  bool RegistrationsVanish;
  PromotionRulesOptions Rules{.ListingValidity = milliseconds(3000)};
  ModelStore Store;
  std::vector<ModelInstance> Instances;
  TimePoint Now{milliseconds(100'000)};
  std::uint64_t Newest = 1;
  int Promotions = 0;
  int Extensions = 0;
  int Retirements = 0;
};

/// Number of seeds that violate the invariant.
int countViolations(Fault Disabled) {
  int Count = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Count += LeaseModel(Seed, Disabled).run() ? 1 : 0;
  return Count;
}

TEST(LeaseModel, NoLeaseOutlivesItsEpoch) {
  int Promotions = 0;
  int Extensions = 0;
  int Retirements = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    LeaseModel Model(Seed, Fault::None);
    auto Violation = Model.run();
    EXPECT_FALSE(Violation)
        << "seed " << Seed << ": " << Violation.value_or("");
    Promotions += Model.promotions();
    Extensions += Model.extensions();
    Retirements += Model.retirements();
  }
  // The search must actually cover these events.
  EXPECT_GT(Promotions, static_cast<int>(Seeds));
  EXPECT_GT(Extensions, static_cast<int>(Seeds));
  EXPECT_GT(Retirements, static_cast<int>(Seeds));
}

TEST(LeaseModel, FindsAnInstanceThatChangesAPrimaryAfterRetiring) {
  EXPECT_GT(countViolations(Fault::ClosesAfterRetiring), 0);
}

TEST(LeaseModel, FindsAPromotionWithoutWaiting) {
  EXPECT_GT(countViolations(Fault::PromotesWithoutWaiting), 0);
}

TEST(LeaseModel, FindsAPromoterTooNewToBeListed) {
  EXPECT_GT(countViolations(Fault::ClosesBeforeRegistrationAge), 0);
}

TEST(LeaseModel, FindsAListNewerThanTheRecord) {
  EXPECT_GT(countViolations(Fault::ListedAfterRecordRead), 0);
}

} // namespace
} // namespace turmericpitch
