// Fleets in virtual time follow a version that the store holds, while watches
// are silent, the store turns instances away, and the reader is lost.
#include "membership/CopyFollower.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

constexpr Duration ApplyTimeout = milliseconds(3000);
constexpr Duration Step = milliseconds(50);
constexpr Duration QueryInterval = milliseconds(150);
constexpr Duration StoreTimeout = milliseconds(700);
constexpr Duration CopyTime = milliseconds(150);
constexpr std::size_t CopiesServedAtATime = 4;
constexpr std::size_t VersionQueries = 3;
constexpr std::size_t InstancesPerRelay = 12;

enum class StoreState { Answers, Refuses, Silent };

struct Instance {
  /// Whether it runs a build that neither confirms nor serves copies.
  bool Old = false;
  bool Lost = false;
  StoreState Store = StoreState::Answers;
  bool WatchSilent = false;
  std::uint64_t Version = 1;
  CopyFollower Copy{{}, 1};
  std::optional<TimePoint> StoreCallSentAt;
  std::optional<TimePoint> CopyArrivesAt;
  std::size_t CopyFrom = 0;
  std::optional<TimePoint> AppliedAt;
  std::size_t StoreCalls = 0;
};

constexpr CopyFollowerOptions Normal{.MaxUnconfirmed = ApplyTimeout * 3 / 5,
                                     .ReaderInterval = ApplyTimeout / 3};

/// Relays are the first instances that live, the first of them the reader.
/// Queries are answered within a step.
class CopyFleet {
public:
  CopyFleet(std::size_t Size, std::uint64_t Seed,
            const CopyFollowerOptions &Options = Normal)
      : Random(Seed), All(Size) {
    for (std::size_t Index = 0; Index < Size; ++Index) {
      Instance &Each = this->All[Index];
      Each.Copy = CopyFollower(Options, Seed + Index);
      Each.Copy.onHeld(1);
      Each.Copy.onConfirmed(this->Now);
    }
  }

  void run(Duration Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;) {
      this->Now += Step;
      for (std::size_t Index = 0; Index < this->All.size(); ++Index)
        if (!this->All[Index].Lost)
          this->advance(Index);
    }
  }

  /// The store acknowledges a new version; watches that aren't silent show it.
  void change() {
    ++this->Stored;
    for (Instance &Each : this->All)
      if (!Each.WatchSilent && Each.Store == StoreState::Answers)
        this->apply(Each, this->Stored);
  }

  std::size_t reader() const {
    std::size_t First = 0;
    while (this->All[First].Lost)
      ++First;
    return First;
  }

  /// How many instances of the new build didn't apply the version in time.
  std::size_t late(TimePoint ChangedAt) const {
    std::size_t Late = 0;
    for (const Instance &Each : this->All)
      Late += !Each.Old && !Each.Lost &&
                      (!Each.AppliedAt ||
                       *Each.AppliedAt - ChangedAt > ApplyTimeout)
                  ? 1
                  : 0;
    return Late;
  }

  RandomSource Random;
  std::vector<Instance> All;
  std::uint64_t Stored = 1;
  TimePoint Now;

private:
  void apply(Instance &To, std::uint64_t Version) {
    if (Version <= To.Version)
      return;
    To.Version = Version;
    To.AppliedAt = this->Now;
    To.Copy.onHeld(Version);
  }

  void query(std::size_t From, std::size_t To) {
    const Instance &Other = this->All[To];
    if (From == To || Other.Lost)
      return;
    CopyReport Report = Other.Copy.report(this->Now);
    if (Other.Old)
      Report.ConfirmedAge.reset();
    Instance &Own = this->All[From];
    Own.Copy.onReport({std::to_string(To)}, Report, this->Now, this->Now);
    // An old build reads the store when it is told of a newer version.
    if (Own.Old && Report.Version > Own.Version &&
        Own.Store == StoreState::Answers)
      this->apply(Own, this->Stored);
  }

  void advance(std::size_t Index) {
    Instance &Own = this->All[Index];
    this->finishCalls(Own);
    std::size_t Reader = this->reader();
    std::size_t Relays = 1 + this->All.size() / InstancesPerRelay;
    bool QueryTurn =
        this->Now.time_since_epoch() % QueryInterval == Duration{0};
    if (QueryTurn && Index != Reader) {
      bool IsRelay = Index < Reader + Relays;
      this->query(Index, IsRelay ? Reader : Reader + Index % Relays);
    }
    if (Own.Old)
      return;
    CopyActions Due = Own.Copy.next(this->Now, Index == Reader, true);
    if (Due.QueryInstances)
      for (std::size_t Count = 0; Count < VersionQueries; ++Count)
        this->query(Index, this->Random.nextBelow(this->All.size()));
    if (Due.AskStore) {
      ++Own.StoreCalls;
      Own.Copy.onStoreAsked(this->Now);
      Own.StoreCallSentAt = this->Now;
    }
    if (Due.CopyFrom) {
      std::size_t From = std::stoul(Due.CopyFrom->Value);
      Own.Copy.onCopyRequested();
      if (this->servedCopies(From) >= CopiesServedAtATime)
        return Own.Copy.onCopyFailed(*Due.CopyFrom, this->Now);
      Own.CopyFrom = From;
      Own.CopyArrivesAt = this->Now + CopyTime;
    }
  }

  std::size_t servedCopies(std::size_t Holder) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->All, [&](const Instance &Each) {
          return Each.CopyArrivesAt && Each.CopyFrom == Holder;
        }));
  }

  void finishCalls(Instance &Own) {
    if (Own.StoreCallSentAt && Own.Store == StoreState::Answers) {
      this->apply(Own, this->Stored);
      Own.Copy.onConfirmed(*Own.StoreCallSentAt);
      Own.Copy.onStoreAnswered(this->Now, true);
      Own.StoreCallSentAt.reset();
    } else if (Own.StoreCallSentAt &&
               (Own.Store == StoreState::Refuses ||
                this->Now - *Own.StoreCallSentAt >= StoreTimeout)) {
      Own.Copy.onStoreFailed(this->Now + milliseconds(1600));
      Own.StoreCallSentAt.reset();
    }
    if (!Own.CopyArrivesAt || this->Now < *Own.CopyArrivesAt)
      return;
    Own.CopyArrivesAt.reset();
    const Instance &From = this->All[Own.CopyFrom];
    if (!From.Old && !From.Lost)
      this->apply(Own, From.Version);
    if (Own.Copy.isBehind())
      Own.Copy.onCopyFailed({std::to_string(Own.CopyFrom)}, this->Now);
    else
      Own.Copy.onCopyReceived();
  }
};

/// Plays a change under random faults. Returns how many instances were late.
std::size_t lateInRandomFaults(std::size_t Size, std::uint64_t Seed,
                               const CopyFollowerOptions &Options) {
  CopyFleet Fleet(Size, Seed, Options);
  bool Mixed = Seed % 3 == 0;
  for (Instance &Each : Fleet.All)
    Each.Old = Mixed && Fleet.Random.chance(0.5);
  Fleet.run(milliseconds(2000));
  // One instance of the new build at least reaches the store: without any,
  // nobody could know.
  std::size_t Reaches = Fleet.Random.nextBelow(Size);
  double TurnedAway = 0.1 * Fleet.Random.nextBelow(8);
  for (std::size_t Index = 0; Index < Size; ++Index) {
    Instance &Each = Fleet.All[Index];
    Each.WatchSilent = Fleet.Random.chance(0.9);
    if (Index == Reaches)
      Each.Old = false;
    else if (Fleet.Random.chance(TurnedAway))
      Each.Store =
          Fleet.Random.chance(0.5) ? StoreState::Refuses : StoreState::Silent;
  }
  if (Seed % 2 == 0 && Fleet.reader() != Reaches)
    Fleet.All[Fleet.reader()].Lost = true;
  Fleet.run(milliseconds(Fleet.Random.nextBelow(2000)));
  TimePoint ChangedAt = Fleet.Now;
  Fleet.change();
  Fleet.run(2 * ApplyTimeout);
  return Fleet.late(ChangedAt);
}

constexpr std::size_t Sizes[] = {5, 34, 118, 300};
constexpr std::uint64_t Seeds = 60;

// The incident of issue 48: which of these faults it was isn't known.
TEST(CopyFollower, VersionIsInForceInTimeWhateverIsSilent) {
  for (std::size_t Size : Sizes)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      EXPECT_EQ(lateInRandomFaults(Size, Seed, Normal), 0U)
          << Size << " seed " << Seed;
}

TEST(CopyFollower, VersionsAreLateWithoutChecksOrCopies) {
  constexpr Duration Never = std::chrono::hours(1);
  CopyFollowerOptions NoChecks = Normal;
  NoChecks.MaxUnconfirmed = NoChecks.ReaderInterval = Never;
  CopyFollowerOptions NoCopies = Normal;
  NoCopies.EnoughHolders = SIZE_MAX;
  NoCopies.HolderWait = Never;
  for (const CopyFollowerOptions &Each : {NoChecks, NoCopies}) {
    std::size_t Late = 0;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      Late += lateInRandomFaults(34, Seed, Each);
    EXPECT_GT(Late, 0U);
  }
}

// After a restore, the store may hold less than the instances.
TEST(CopyFollower, CopyNewerThanTheStoreComesFromAnInstance) {
  CopyFollower Copy(Normal, 1);
  TimePoint Now(std::chrono::seconds(1));
  Copy.onReport({"a"}, {.Version = 7, .ConfirmedAge = Duration{0}}, Now, Now);
  EXPECT_TRUE(Copy.next(Now, false, true).AskStore);
  Copy.onStoreAsked(Now);
  Copy.onHeld(5);
  Copy.onConfirmed(Now);
  Copy.onStoreAnswered(Now, true);
  Now += Normal.HolderWait;
  CopyActions Due = Copy.next(Now, false, true);
  EXPECT_FALSE(Due.AskStore);
  EXPECT_EQ(Due.CopyFrom, InstanceId{"a"});
}

// Another instance may be able to use what this one can't, as during an
// upgrade.
TEST(CopyFollower, CopyConfirmsNothingWhileANewerOneCannotBeUsed) {
  TimePoint Now(std::chrono::seconds(1));
  CopyFollower Refusing(Normal, 1);
  Refusing.onHeld(5);
  Refusing.onUnusable();
  Refusing.onConfirmed(Now);
  EXPECT_FALSE(Refusing.report(Now).ConfirmedAge);
  CopyFollower Other(Normal, 2);
  Other.onHeld(5);
  Other.onReport({"a"}, Refusing.report(Now), Now, Now);
  EXPECT_TRUE(Other.next(Now, false, true).AskStore);
  Refusing.onHeld(6);
  EXPECT_TRUE(Refusing.report(Now).ConfirmedAge);
}

// After a restore, a version that nobody holds any more kept all instances
// asking the store.
TEST(CopyFollower, ReportThatNobodyRepeatsIsForgotten) {
  CopyFollower Copy(Normal, 1);
  TimePoint Now(std::chrono::seconds(1));
  Copy.onHeld(5);
  Copy.onReport({"a"}, {.Version = 7, .ConfirmedAge = Duration{0}}, Now, Now);
  for (TimePoint End = Now + Normal.ReportLifetime; Now <= End; Now += Step) {
    if (Copy.next(Now, false, true).AskStore) {
      Copy.onStoreAsked(Now);
      Copy.onConfirmed(Now);
      Copy.onStoreAnswered(Now, true);
    }
    EXPECT_TRUE(Copy.isBehind());
  }
  EXPECT_EQ(Copy.next(Now, false, true), CopyActions{});
}

// On a slow link, copies that were cut off were requested again and again, and
// left no bandwidth for anything else.
TEST(CopyFollower, CopiesThatFailAreRequestedLessAndLessOften) {
  CopyFollower Copy(Normal, 1);
  TimePoint Now(std::chrono::seconds(1));
  std::size_t Requests = 0;
  for (TimePoint End = Now + std::chrono::seconds(20); Now < End; Now += Step) {
    for (const char *Holder : {"a", "b", "c", "d"})
      Copy.onReport({Holder}, {.Version = 7, .ConfirmedAge = Duration{0}}, Now,
                    Now);
    auto From = Copy.next(Now, false, false).CopyFrom;
    if (!From)
      continue;
    ++Requests;
    Copy.onCopyRequested();
    Copy.onCopyFailed(*From, Now);
  }
  EXPECT_GE(Requests, 10U);
  EXPECT_LE(Requests, 16U);
}

TEST(CopyFollower, OnlyTheReaderChecksACopyInTheNormalCase) {
  CopyFleet Fleet(34, 1);
  Fleet.run(milliseconds(30'000));
  for (std::size_t Index = 1; Index < Fleet.All.size(); ++Index)
    EXPECT_EQ(Fleet.All[Index].StoreCalls, 0U) << Index;
  EXPECT_LE(Fleet.All[0].StoreCalls, 30U);
}

} // namespace
} // namespace turmericpitch
