// Searches the interleavings of rights, promises and promotions for an
// instance that uses a primary after another one was promoted.
#include "core/RandomSource.h"
#include "failover/PromotionRules.h"
#include "failover/RightRound.h"
#include "membership/InstanceRoster.h"

#include <gtest/gtest.h>
#include <memory>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Seeds = 400;
constexpr int StepsInRun = 6000;
constexpr Duration Step = milliseconds(5);
const ServiceId Service{"ledger"};

/// Which rule the model leaves out, to show that the search finds its lack.
enum class Fault {
  None,
  NoClosingWait,
  NoRegistrationAge,
  ListedAfterRecord,
  ClosesAfterRetiring,
};

/// The store: one record, the registrations, and a revision.
struct ModelStore {
  struct Registration {
    std::uint64_t Revision = 0;
  };

  std::uint64_t Revision = 10;
  ReignRecord Record;
  std::map<int, Registration> Instances;
};

/// One instance with the real rights, promises and rounds.
struct ModelInstance {
  explicit ModelInstance(const PromotionRulesOptions &Rules)
      : Rights(Rules.Rights) {}

  PrimaryRights Rights;
  RightGrants Grants;
  /// The registrations as read last.
  std::map<int, std::uint64_t> Listed;
  std::optional<TimePoint> ListedAt;
  /// Registrations of others that have retired, as they said themselves.
  std::map<int, std::uint64_t> RetiredAs;
  /// It is about to end and begins no further change.
  bool Stopping = false;
  std::optional<TimePoint> RegisteredAt;
  std::uint64_t RegisteredAs = 0;
  bool HasRead = false;
  /// A change of primary under way.
  bool Changing = false;
  std::optional<TimePoint> OrderAt;
  std::uint64_t ClosedAs = 0;
  TimePoint FrozenUntil;
  /// A time without something.
  struct Gap {
    TimePoint From;
    TimePoint Until;

    [[nodiscard]] bool covers(TimePoint Now) const {
      return this->From <= Now && Now < this->Until;
    }
  };
  /// The store turns this instance away.
  Gap TurnedAway;
  /// The others don't hear it.
  Gap Unheard;
};

class RightModel {
public:
  RightModel(std::uint64_t Seed, Fault Left)
      : Random(Seed), Left(Left), RegistrationsVanish(Seed % 2 == 0) {
    this->Store.Record = {.Service = Service,
                          .Reign = 1,
                          .Primary = {"m1"},
                          .Stored = {this->Store.Revision}};
    for (int Index = 0; Index < InstanceCount; ++Index)
      this->Instances.emplace_back(this->Rules);
  }

  /// Returns a description of the first breach, or nothing.
  std::optional<std::string> run() {
    for (int Count = 0; Count < StepsInRun; ++Count) {
      this->Now += Step;
      if (this->Random.chance(0.002))
        this->turnAwayMost();
      int Who = static_cast<int>(this->Random.nextBelow(InstanceCount));
      if (this->Instances[Who].FrozenUntil <= this->Now)
        this->act(Who);
      if (auto Breach = this->breach())
        return Breach;
    }
    return std::nullopt;
  }

  int promotions() const { return this->Promotions; }
  int extensions() const { return this->Extensions; }
  int retirements() const { return this->Retirements; }

private:
  static constexpr int InstanceCount = 3;

  /// The store soon serves at most one instance for a while, which may be out
  /// of the others' reach then, and about to end.
  void turnAwayMost() {
    int Served = static_cast<int>(this->Random.nextBelow(InstanceCount + 1));
    TimePoint From = this->Now + milliseconds(this->Random.nextBelow(400));
    ModelInstance::Gap Gap{.From = From,
                           .Until = From +
                                    milliseconds(this->Random.nextBelow(4000))};
    for (int Who = 0; Who < InstanceCount; ++Who)
      if (Who != Served)
        this->Instances[Who].TurnedAway = Gap;
    if (Served == InstanceCount || this->Random.chance(0.5))
      return;
    this->Instances[Served].Unheard = Gap;
    if (this->Random.chance(0.3))
      this->Instances[Served].Stopping = true;
  }
  [[nodiscard]] bool answers(const ModelInstance &I) const {
    return I.FrozenUntil <= this->Now && !I.Unheard.covers(this->Now);
  }
  [[nodiscard]] bool reachesStore(const ModelInstance &I) const {
    return !I.TurnedAway.covers(this->Now);
  }

  void act(int Who) {
    ModelInstance &I = this->Instances[Who];
    if (I.OrderAt && *I.OrderAt <= this->Now)
      return this->order(I);
    double Draw = this->Random.fraction();
    if (Draw < 0.05)
      this->readRecord(I);
    else if (Draw < 0.07)
      this->list(Who);
    else if (Draw < 0.40)
      this->askAll(Who);
    else if (Draw < 0.45)
      this->close(Who);
    else if (Draw < 0.455)
      I.FrozenUntil = this->Now + milliseconds(this->Random.nextBelow(4000));
    else if (Draw < 0.459)
      this->restart(Who);
    else if (Draw < 0.4605)
      I.Stopping = true;
    else if (Draw < (this->RegistrationsVanish ? 0.47 : 0.461))
      // A registration that vanishes unseen.
      this->Store.Instances.erase(Who);
  }

  void restart(int Who) {
    ModelInstance Before = this->Instances[Who];
    this->Instances[Who] = ModelInstance(this->Rules);
    this->Instances[Who].TurnedAway = Before.TurnedAway;
    this->Instances[Who].Unheard = Before.Unheard;
  }

  void readRecord(ModelInstance &I) {
    if (!this->reachesStore(I))
      return;
    // The answer comes later than the question by up to 200 ms.
    TimePoint AskedAt = this->Now - milliseconds(this->Random.nextBelow(200));
    I.Rights.onListing({this->Store.Record}, AskedAt);
    I.HasRead = true;
  }

  void list(int Who) {
    ModelInstance &I = this->Instances[Who];
    if (!this->reachesStore(I))
      return;
    auto Own = this->Store.Instances.find(Who);
    if (Own == this->Store.Instances.end() ||
        Own->second.Revision != I.RegisteredAs) {
      I.RegisteredAs = ++this->Store.Revision;
      this->Store.Instances[Who] = {.Revision = I.RegisteredAs};
      I.RegisteredAt = this->Now;
    }
    I.Listed.clear();
    for (const auto &[Each, Registration] : this->Store.Instances)
      I.Listed[Each] = Registration.Revision;
    I.ListedAt = this->Now;
  }

  bool hasRetired(const ModelInstance &Asker, int Who) const {
    auto Told = Asker.RetiredAs.find(Who);
    return Told != Asker.RetiredAs.end() &&
           Told->second == Asker.Listed.at(Who);
  }

  bool mayPromise(const ModelInstance &I) const {
    return I.HasRead && !I.Changing;
  }

  void askAll(int Who) {
    ModelInstance &I = this->Instances[Who];
    const ReignRecord *Record = I.Rights.record(Service);
    if (!Record || !I.ListedAt || !this->mayPromise(I))
      return;
    std::set<InstanceId> Asked;
    for (const auto &[Each, Revision] : I.Listed)
      if (Each != Who && !this->hasRetired(I, Each))
        Asked.insert({std::to_string(Each)});
    // Answers arrive later than the question by up to 100 ms.
    TimePoint AskedAt = this->Now - milliseconds(this->Random.nextBelow(100));
    RightRound Round(1, AskedAt, Asked);
    for (const auto &[Each, Revision] : I.Listed)
      if (Each != Who && this->answers(this->Instances[Each]) &&
          this->answers(I))
        this->answer(Round, I, Each, AskedAt);
    Duration Use = this->Rules.Rights.longestUse();
    std::vector<GrantedReign> All = Round.granted();
    // Alone, an instance asks nobody.
    if (Asked.empty())
      All = {{.Service = Service, .Reign = I.Rights.record(Service)->Reign}};
    for (const GrantedReign &Granted : All) {
      auto Until = extensionEnd(this->Rules, this->grounds(I, AskedAt));
      if (!Until || Granted.Reign != I.Rights.record(Service)->Reign)
        continue;
      I.Grants.grant(Service, Use, this->Now);
      I.Rights.extend(Service, Granted.Reign, *Until);
      ++this->Extensions;
    }
  }

  ExtensionGrounds grounds(const ModelInstance &I, TimePoint AskedAt) const {
    TimePoint Read = *I.Rights.askedAt(Service);
    if (this->Left == Fault::ListedAfterRecord)
      Read = std::max(Read, *I.ListedAt);
    return {.ListedAt = *I.ListedAt, .RecordReadAt = Read, .AskedAt = AskedAt};
  }

  void answer(RightRound &Round, ModelInstance &Asker, int Who,
              TimePoint AskedAt) {
    ModelInstance &I = this->Instances[Who];
    const ReignRecord *Record = I.Rights.record(Service);
    RightAnswer Answer{.Serial = 1};
    if (I.Stopping && !I.Changing && I.RegisteredAs != 0) {
      Asker.RetiredAs[Who] = I.RegisteredAs;
      ++this->Retirements;
    }
    if (Record) {
      ToldService Told{.Record = *Record};
      Told.Age = this->Now - *I.Rights.askedAt(Service);
      Told.Granted = Record->Phase == ReignPhase::Open && this->mayPromise(I);
      if (Told.Granted)
        I.Grants.grant(Service, this->Rules.Rights.longestUse(), this->Now);
      Answer.Services = {Told};
      Asker.Rights.onRecord(Told.Record, AskedAt - Told.Age);
    }
    Round.onAnswer({std::to_string(Who)}, Answer);
  }

  void close(int Who) {
    ModelInstance &I = this->Instances[Who];
    const ReignRecord *Record = I.Rights.record(Service);
    bool Old = this->Left == Fault::NoRegistrationAge ||
               mayClose(this->Rules, I.RegisteredAt, this->Now);
    bool Retired = I.Stopping && this->Left != Fault::ClosesAfterRetiring;
    if (!this->reachesStore(I) || I.Changing || Retired || !Record || !Old ||
        !I.RegisteredAt)
      return;
    auto Own = this->Store.Instances.find(Who);
    bool Registered = Own != this->Store.Instances.end() &&
                      Own->second.Revision == I.RegisteredAs;
    if (!Registered || Record->Stored != this->Store.Record.Stored)
      return;
    ReignRecord Next = this->Store.Record;
    Next.Phase = ReignPhase::Closing;
    Next.Stored = {++this->Store.Revision};
    this->Store.Record = Next;
    I.Rights.onRecord(Next, this->Now);
    I.Changing = true;
    I.ClosedAs = Next.Stored.Value;
    I.OrderAt =
        earliestOrder(this->Rules, this->Now, I.Grants.boundUntil(Service));
    if (this->Left == Fault::NoClosingWait)
      I.OrderAt = this->Now;
  }

  void order(ModelInstance &I) {
    I.OrderAt.reset();
    I.Changing = false;
    if (!this->reachesStore(I) || this->Store.Record.Stored.Value != I.ClosedAs)
      return;
    ++this->Promotions;
    ReignRecord Next = this->Store.Record;
    Next.Phase = ReignPhase::Open;
    Next.Reign += 1;
    Next.Primary = {"m" + std::to_string(Next.Reign)};
    Next.Stored = {++this->Store.Revision};
    this->Store.Record = Next;
    this->Newest = Next.Reign;
    I.Rights.onRecord(Next, this->Now);
  }

  std::optional<std::string> breach() const {
    for (const ModelInstance &I : this->Instances) {
      auto Right = I.Rights.right(Service);
      if (Right && Right->Until > this->Now && Right->Reign < this->Newest)
        return "a right to reign " + std::to_string(Right->Reign) +
               " while reign " + std::to_string(this->Newest) + " runs";
    }
    return std::nullopt;
  }

  RandomSource Random;
  Fault Left;
  /// Often; seldom in the other runs.
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

/// How many of the seeds break the invariant.
int breaches(Fault Left) {
  int Count = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Count += RightModel(Seed, Left).run() ? 1 : 0;
  return Count;
}

TEST(RightModel, NoRightOutlivesItsReign) {
  int Promotions = 0;
  int Extensions = 0;
  int Retirements = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RightModel Model(Seed, Fault::None);
    auto Breach = Model.run();
    EXPECT_FALSE(Breach) << "seed " << Seed << ": " << Breach.value_or("");
    Promotions += Model.promotions();
    Extensions += Model.extensions();
    Retirements += Model.retirements();
  }
  // The search has to reach what it is about.
  EXPECT_GT(Promotions, static_cast<int>(Seeds));
  EXPECT_GT(Extensions, static_cast<int>(Seeds));
  EXPECT_GT(Retirements, static_cast<int>(Seeds));
}

TEST(RightModel, FindsAnInstanceThatChangesAPrimaryAfterRetiring) {
  EXPECT_GT(breaches(Fault::ClosesAfterRetiring), 0);
}

TEST(RightModel, FindsAPromotionThatWaitsForNothing) {
  EXPECT_GT(breaches(Fault::NoClosingWait), 0);
}

TEST(RightModel, FindsAPromoterThatNobodyAsked) {
  EXPECT_GT(breaches(Fault::NoRegistrationAge), 0);
}

TEST(RightModel, FindsAListingYoungerThanTheRecord) {
  EXPECT_GT(breaches(Fault::ListedAfterRecord), 0);
}

} // namespace
} // namespace turmericpitch
