// Searches random interleavings of reads, confirmations, changes of the owners,
// restarts, outages and restores of the store, and entries of another writer in
// place of the table, for a moment at which the shares in use add up to more
// than one.
#include "core/RandomSource.h"
#include "limits/ShareRight.h"

#include <deque>
#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::seconds;

/// The condition that a run leaves out, to show that it is needed.
enum class RightFault {
  None,
  CountsRightFromReceipt,
  GrowsAtOnce,
  ReplacesEarly,
  TrustsOlderCopies,
  ReplacesUnreadableEarly,
};

/// Whether another writer overwrites the table now and then.
enum class Stranger { Absent, Present };

/// Not thread-safe.
class ShareRightModel {
public:
  ShareRightModel(std::uint64_t Seed, RightFault Fault,
                  Stranger OtherWriter = Stranger::Absent)
      : Random(Seed), Fault(Fault), OtherWriter(OtherWriter) {
    if (Fault == RightFault::ReplacesEarly)
      this->Options.Margin = -this->Options.Validity / 2;
    for (int Index = 0; Index < Count; ++Index)
      this->Instances.emplace_back(ShareRight(idOf(Index), this->Options));
  }

  /// The largest sum of shares in use, and the number of changes.
  struct Result {
    double LargestSum = 0;
    int Changes = 0;
    int Restores = 0;
    int Overwrites = 0;
    /// Sum of shares in use, averaged.
    double MeanSum = 0;
  };

  Result run() {
    Result Run;
    constexpr int Steps = 6000;
    for (int Step = 0; Step < Steps; ++Step) {
      this->Now += seconds(1);
      this->disturb();
      for (int Index = 0; Index < Count; ++Index)
        this->step(Index);
      double Sum = 0;
      for (const Instance &Each : this->Instances)
        Sum += Each.Right.share(this->Now);
      Run.LargestSum = std::max(Run.LargestSum, Sum);
      Run.MeanSum += Sum / Steps;
    }
    Run.Changes = this->Changes;
    Run.Restores = this->Restores;
    Run.Overwrites = this->Overwrites;
    return Run;
  }

private:
  static constexpr int Count = 5;
  /// Of a call to the store or its answer, in seconds.
  static constexpr int LongestTransit = 20;

  struct Content {
    OwnerTable Table;
    std::uint64_t KeyRevision = 0;
    std::uint64_t StoreRevision = 10;
    bool Unreadable = false;
  };
  struct Read {
    TimePoint SentAt;
    TimePoint RunsAt;
    TimePoint ArrivesAt;
    OwnerTable Table = {};
    Revision Stored = {};
    bool Unreadable = false;
    bool HasRun = false;
  };
  struct Write {
    TimePoint RunsAt;
    OwnerTable Table;
    Revision Expected;
  };
  struct Instance {
    explicit Instance(ShareRight Right) : Right(std::move(Right)) {}

    ShareRight Right;
    TimePoint PausedUntil;
    TimePoint CutUntil;
    std::optional<Read> Reading;
    std::optional<Write> Writing;
  };

  static InstanceId idOf(int Index) { return {std::to_string(Index)}; }
  Duration upTo(int Seconds) {
    return seconds(this->Random.nextBelow(Seconds + 1));
  }
  [[nodiscard]] Revision storedPosition() const {
    // As platform/StoreCalls reads an absent key.
    return positionInHistory(this->Era, this->Store.KeyRevision);
  }

  void disturb() {
    if (this->Random.chance(0.05))
      this->Snapshots.push_back(this->Store);
    if (this->Snapshots.size() > 20)
      this->Snapshots.pop_front();
    std::size_t Any = this->Random.nextBelow(Count);
    if (this->Random.chance(0.03))
      this->Instances[Any].CutUntil = this->Now + this->upTo(150);
    if (this->Random.chance(0.005))
      this->Instances[Any].PausedUntil = this->Now + this->upTo(100);
    if (this->Random.chance(0.005))
      this->Instances[Any] =
          Instance(ShareRight(idOf(static_cast<int>(Any)), this->Options));
    if (this->Random.chance(0.01))
      this->Registered[Any] = !this->Registered[Any];
    if (this->Random.chance(0.01))
      for (int Index = 0; Index < Count; ++Index)
        this->Registered[Index] = this->Random.chance(0.4);
    if (this->OtherWriter == Stranger::Present && this->Random.chance(0.002)) {
      this->Store.KeyRevision = ++this->Store.StoreRevision;
      this->Store.Unreadable = true;
      ++this->Overwrites;
    }
    if (this->Snapshots.empty() || !this->Random.chance(0.002))
      return;
    this->Store = this->Snapshots[this->Random.nextBelow(
        static_cast<std::uint32_t>(this->Snapshots.size()))];
    ++this->Era.Value;
    ++this->Restores;
  }

  void step(int Index) {
    Instance &Self = this->Instances[Index];
    this->advanceCalls(Self);
    if (Self.PausedUntil > this->Now)
      return;
    if (Self.Reading && Self.Reading->ArrivesAt <= this->Now)
      this->finishRead(Self);
    bool Cut = Self.CutUntil > this->Now;
    if (!Self.Reading && !Cut && this->Random.chance(0.3)) {
      TimePoint RunsAt = this->Now + this->upTo(LongestTransit);
      Self.Reading = {.SentAt = this->Now,
                      .RunsAt = RunsAt,
                      .ArrivesAt = RunsAt + this->upTo(LongestTransit)};
    }
    if (this->Random.chance(0.1))
      this->confirmFrom(Self, this->Instances[this->Random.nextBelow(Count)]);
    std::vector<InstanceId> List;
    for (int Each = 0; Each < Count; ++Each)
      if (this->Registered[Each])
        List.push_back(idOf(Each));
    auto Next = Self.Right.proposeChange(List, this->Now);
    if (Next && !Self.Writing && !Cut)
      Self.Writing = {.RunsAt = this->Now + this->upTo(LongestTransit),
                      .Table = *Next,
                      .Expected = Self.Right.replaced()};
  }

  void advanceCalls(Instance &Self) {
    if (Self.Reading && !Self.Reading->HasRun &&
        Self.Reading->RunsAt <= this->Now) {
      Self.Reading->HasRun = true;
      Self.Reading->Table = this->Store.Table;
      Self.Reading->Stored = this->storedPosition();
      Self.Reading->Unreadable = this->Store.Unreadable;
    }
    if (!Self.Writing || Self.Writing->RunsAt > this->Now)
      return;
    Write Each = *std::exchange(Self.Writing, std::nullopt);
    if (storeRevisionOf(Each.Expected) != this->Store.KeyRevision)
      return;
    this->Store.KeyRevision = ++this->Store.StoreRevision;
    this->Store.Table = Each.Table;
    this->Store.Unreadable = false;
    ++this->Changes;
  }

  void finishRead(Instance &Self) {
    Read Each = *std::exchange(Self.Reading, std::nullopt);
    if (!Each.HasRun)
      return;
    if (Each.Unreadable) {
      bool Early = this->Fault == RightFault::ReplacesUnreadableEarly;
      Duration Waited = this->Options.Validity + this->Options.Margin;
      return Self.Right.onUnreadable(
          Each.Stored, this->Now - (Early ? Waited : Duration{0}));
    }
    TimePoint SentAt = this->Fault == RightFault::CountsRightFromReceipt
                           ? this->Now
                           : Each.SentAt;
    if (this->Fault == RightFault::GrowsAtOnce)
      Each.Table.PreviousOwners = Each.Table.Owners;
    if (this->Fault == RightFault::TrustsOlderCopies)
      Each.Table.WrittenIn = eraOf(Each.Stored);
    Self.Right.onRead(Each.Table, Each.Stored, SentAt, this->Now);
  }

  void confirmFrom(Instance &Self, const Instance &Other) {
    if (Other.PausedUntil <= this->Now && Other.Right.readSentAt())
      Self.Right.onConfirmed(Other.Right.table().Epoch, Other.Right.stored(),
                             *Other.Right.readSentAt());
  }

  RandomSource Random;
  RightFault Fault;
  Stranger OtherWriter;
  ShareRightOptions Options;
  TimePoint Now{seconds(1000)};
  Content Store;
  StoreEra Era;
  std::deque<Content> Snapshots;
  std::vector<Instance> Instances;
  std::vector<bool> Registered = std::vector<bool>(Count, true);
  int Changes = 0;
  int Restores = 0;
  int Overwrites = 0;
};

constexpr std::uint64_t Seeds = 60;
constexpr double Rounding = 1e-9;

TEST(ShareRightModel, SharesInUseNeverExceedOne) {
  int Changes = 0;
  int Restores = 0;
  double MeanSum = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    auto Run = ShareRightModel(Seed, RightFault::None).run();
    EXPECT_LE(Run.LargestSum, 1 + Rounding) << "seed " << Seed;
    Changes += Run.Changes;
    Restores += Run.Restores;
    MeanSum += Run.MeanSum / static_cast<double>(Seeds);
  }
  // The search must actually cover these events.
  EXPECT_GT(Changes, static_cast<int>(Seeds) * 10);
  EXPECT_GT(Restores, static_cast<int>(Seeds) * 2);
  EXPECT_GT(MeanSum, 0.3);
  RecordProperty("x_changes", Changes);
  RecordProperty("x_restores", Restores);
  RecordProperty("x_mean", std::to_string(MeanSum));
}

TEST(ShareRightModel, SharesInUseNeverExceedOneBesideAnotherWriter) {
  int Overwrites = 0;
  double MeanSum = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    auto Run = ShareRightModel(Seed, RightFault::None, Stranger::Present).run();
    EXPECT_LE(Run.LargestSum, 1 + Rounding) << "seed " << Seed;
    Overwrites += Run.Overwrites;
    MeanSum += Run.MeanSum / static_cast<double>(Seeds);
  }
  EXPECT_GT(Overwrites, static_cast<int>(Seeds) * 5);
  EXPECT_GT(MeanSum, 0.2);
}

class ShareRightFaultTest : public testing::TestWithParam<RightFault> {};

/// Each condition is needed: without it, the search finds a violation.
TEST_P(ShareRightFaultTest, IsFound) {
  bool Found = false;
  for (std::uint64_t Seed = 1; Seed <= Seeds && !Found; ++Seed) {
    bool Overwritten = this->GetParam() == RightFault::ReplacesUnreadableEarly;
    ShareRightModel Model(Seed, this->GetParam(),
                          Overwritten ? Stranger::Present : Stranger::Absent);
    Found = Model.run().LargestSum > 1 + Rounding;
    RecordProperty("found_by_seed", static_cast<int>(Seed));
  }
  EXPECT_TRUE(Found);
}

INSTANTIATE_TEST_SUITE_P(Conditions, ShareRightFaultTest,
                         testing::Values(RightFault::CountsRightFromReceipt,
                                         RightFault::GrowsAtOnce,
                                         RightFault::ReplacesEarly,
                                         RightFault::TrustsOlderCopies,
                                         RightFault::ReplacesUnreadableEarly));

} // namespace
} // namespace turmericpitch
