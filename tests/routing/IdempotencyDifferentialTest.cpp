// Checks writes with idempotency keys under random faults against a reference
// model: a map from each key to its single outcome.
#include "tests/routing/RequestHarness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t Keys = 6;
constexpr std::uint32_t StatementsPerKey = 3;
constexpr std::uint32_t FaultWindowMs = 3000;
constexpr Duration TestDuration = std::chrono::seconds(12);

class KeyedWrites {
public:
  explicit KeyedWrites(std::uint64_t Seed) : Random(Seed) {
    for (const char *Name : {"m1", "m2", "m3"}) {
      DatabaseMember Member;
      Member.Id = UpstreamId{Name};
      this->Ids.push_back(Member.Id);
      this->Harness.addMember(Member, Duration{0});
    }
    this->Harness.start({"a", "b"});
    this->scheduleWrites();
    this->scheduleFaults();
    this->Queue.runUntil(TimePoint(TestDuration));
  }

  [[nodiscard]] bool anyAcknowledged(std::uint32_t Key) const {
    for (std::uint32_t Index = 0; Index < StatementsPerKey; ++Index)
      if (this->outcome(Key, Index) && *this->outcome(Key, Index))
        return true;
    return false;
  }
  /// The outcome of one of the key's statements; empty if it is still pending.
  [[nodiscard]] const std::optional<Outcome<StatementAnswer>> &
  outcome(std::uint32_t Key, std::uint32_t Index) const {
    return this->Harness.result(nameOf(Key, Index)).Answer;
  }
  std::string valueOf(std::uint32_t Key) {
    return this->Harness.valueAt(this->primary(), "k" + std::to_string(Key));
  }

private:
  static std::string nameOf(std::uint32_t Key, std::uint32_t Index) {
    return std::to_string(Key) + "-" + std::to_string(Index);
  }

  TimePoint randomTime() {
    return TimePoint(milliseconds(200 + this->Random.nextBelow(FaultWindowMs)));
  }

  void scheduleWrites() {
    for (std::uint32_t Key = 0; Key < Keys; ++Key)
      for (std::uint32_t Index = 0; Index < StatementsPerKey; ++Index) {
        HarnessStatement Write;
        Write.Name = nameOf(Key, Index);
        Write.Instance = this->Random.chance(0.5) ? "a" : "b";
        Write.Request.Statement = "add k" + std::to_string(Key) + " 1";
        Write.Request.Write = true;
        Write.Request.Key = IdempotencyKey{"key-" + std::to_string(Key)};
        Write.Request.Timeout =
            milliseconds(100 + this->Random.nextBelow(3000));
        this->Queue.scheduleAt(this->randomTime(),
                               [this, Write] { this->Harness.run(Write); });
      }
  }

  void scheduleFaults() {
    for (int Fault = 0; Fault < 6; ++Fault) {
      UpstreamId Member = this->Ids[this->Random.nextBelow(
          static_cast<std::uint32_t>(this->Ids.size()))];
      std::uint32_t Kind = this->Random.nextBelow(4);
      this->Queue.scheduleAt(this->randomTime(), [this, Member, Kind] {
        this->inject(Member, Kind);
      });
    }
  }

  void inject(const UpstreamId &Member, std::uint32_t Kind) {
    switch (Kind) {
    case 0:
      return this->Harness.loseNextAnswer(Member);
    case 1:
      this->Harness.setReplicationCut(Member, true);
      this->Queue.scheduleAfter(milliseconds(300), [this, Member] {
        this->Harness.setReplicationCut(Member, false);
      });
      return;
    case 2:
      return this->Harness.mislabelNextAnswer(Member);
    default:
      return this->promoteWithout(Member);
    }
  }

  /// Promotes the other member with the highest received position.
  void promoteWithout(const UpstreamId &Unreached) {
    UpstreamId Successor;
    TermPosition Furthest;
    for (const UpstreamId &Id : this->Ids) {
      MemberStatus Status = this->Harness.member(Id).status(this->Queue.now());
      bool Further = Successor.Value.empty() || Status.LastEntry > Furthest;
      if (Id == Unreached || !Further)
        continue;
      Successor = Id;
      Furthest = Status.LastEntry;
    }
    this->Harness.promote(Successor, {Unreached});
  }

  UpstreamId primary() {
    UpstreamId Newest = this->Ids.front();
    Term Highest;
    for (const UpstreamId &Id : this->Ids) {
      MemberStatus Status = this->Harness.member(Id).status(this->Queue.now());
      bool Newer =
          Status.Role == MemberRole::Primary && Status.AcceptedTerm > Highest;
      if (!Newer)
        continue;
      Newest = Id;
      Highest = Status.AcceptedTerm;
    }
    return Newest;
  }

  RandomSource Random;
  EventQueue Queue;
  RequestHarness Harness{this->Queue};
  std::vector<UpstreamId> Ids;
};

RC_GTEST_PROP(IdempotencyDifferential, EachKeyHasOneOutcome, ()) {
  KeyedWrites Run(*rc::gen::arbitrary<std::uint64_t>());
  const std::vector<std::string> FirstOutcome{"1"};
  for (std::uint32_t Key = 0; Key < Keys; ++Key) {
    std::string Value = Run.valueOf(Key);
    RC_ASSERT(Value.empty() || Value == "1");
    bool AcknowledgedWriteKept = !Run.anyAcknowledged(Key) || Value == "1";
    RC_ASSERT(AcknowledgedWriteKept);
    bool AllNotRun = true;
    for (std::uint32_t Index = 0; Index < StatementsPerKey; ++Index) {
      const auto &Result = Run.outcome(Key, Index);
      RC_ASSERT(Result.has_value());
      if (*Result)
        RC_ASSERT(Result->value().Rows == FirstOutcome);
      else
        AllNotRun = AllNotRun && provesNotRun(Result->error().Kind);
      AllNotRun = AllNotRun && !*Result;
    }
    // If every statement was answered with proof that it did not run, the key
    // must have no value.
    bool Consistent = !AllNotRun || Value.empty();
    RC_ASSERT(Consistent);
  }
}

} // namespace

} // namespace turmericpitch
