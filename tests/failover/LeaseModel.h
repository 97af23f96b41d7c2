// Model of a fleet that shares the leases on one primary, with the real classes
// for leases, grants, consents and the verification after a restore. Store,
// members and network are simulated.
#pragma once

#include "core/RandomSource.h"
#include "failover/ConsentRound.h"
#include "failover/GrantRound.h"
#include "failover/GrantorMaintenance.h"
#include "failover/LeaseGrants.h"
#include "failover/PromotionRules.h"
#include "failover/RecordVerification.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace turmericpitch {

/// The rule that a model leaves out, to show that the search needs it.
enum class LeaseFault {
  None,
  PromotesWithoutWaiting,
  PromotesWithoutConsent,
  TrustsUnverifiedRecords,
  VerifiesWithoutConsents,
  WritesAcrossEras,
  ReusesEpochs,
};

/// Chances of events in one step, which decide what a search covers.
struct LeaseModelProfile {
  /// The store refuses most instances for up to LongestDisturbance, and one may
  /// be unreachable.
  double DisturbChance = 0.001;
  Duration LongestDisturbance = std::chrono::milliseconds(4000);
  double RestoreChance = 0.0003;
  /// Of a restore shortly after an order.
  double RestoreAfterOrderChance = 0.1;
  /// Of an instance leaving the registry or returning to it.
  double RegistryChance = 0.002;
  /// Of an instance beginning a change of primary when it could.
  double ChangeChance = 0.03;
};

/// Counts of what happened in a run.
struct LeaseModelEvents {
  int Promotions = 0;
  int Grants = 0;
  int SetChanges = 0;
  int Restores = 0;
  int CompleteVerifications = 0;
  int UnknownVerifications = 0;
};

/// One randomized run. Not thread-safe.
class LeaseModel {
public:
  LeaseModel(std::uint64_t Seed, LeaseModelProfile Profile, LeaseFault Fault);

  /// Returns a description of the first violation, or nothing.
  std::optional<std::string> run();
  [[nodiscard]] const LeaseModelEvents &events() const { return this->Events; }

private:
  static constexpr int InstanceCount = 5;

  struct Interval {
    TimePoint From;
    TimePoint Until;

    [[nodiscard]] bool covers(TimePoint Now) const {
      return this->From <= Now && Now < this->Until;
    }
  };
  /// What the store holds.
  struct Content {
    std::uint64_t Revision = 10;
    PrimaryRecord Record;
    GrantorSet Set;
  };
  struct Snapshot {
    TimePoint TakenAt;
    Content Copy;
  };
  /// A write whose reply was lost and that the store makes later if its
  /// conditions hold.
  struct LateWrite {
    TimePoint ArrivesAt;
    Revision Record;
    Revision Set;
    PrimaryRecord Next;
  };
  /// A change of primary in progress.
  struct Change {
    PrimaryRecord Record;
    ClosingProgress Progress;
    ConsentRound Consents;
    bool Ordered = false;
    TimePoint OrderedAt = {};
  };
  struct Instance {
    Instance(const PromotionRulesOptions &Rules,
             const GrantorMaintenanceOptions &Upkeep);

    PrimaryLeases Leases;
    LeaseGrants Grants;
    GrantorMaintenance Upkeep;
    GrantorSet Set;
    bool HasRead = false;
    std::optional<Change> Changing;
    /// The closing that was seen, and since when.
    Revision SeenClosing;
    TimePoint SeenClosingSince;
    std::optional<StoreEra> Unverified;
    TimePoint UnverifiedSince;
    Content UnverifiedCopy;
    std::optional<RecordVerification> Verification;
    TimePoint PausedUntil;
    Interval StoreUnavailable;
    Interval Unreachable;
  };

  [[nodiscard]] Duration upTo(int Milliseconds);
  [[nodiscard]] Grantor grantor(int Index) const;
  [[nodiscard]] std::optional<int> indexOf(const Grantor &Each) const;
  [[nodiscard]] bool reachesStore(const Instance &I) const;
  [[nodiscard]] bool reachable(int Index) const;
  [[nodiscard]] Revision position(std::uint64_t InEra) const;

  void disturb();
  void restore();
  /// Restores the store to the copy with this index among the snapshots.
  void restoreTo(std::size_t Copy);
  void applyLateWrites();
  void step(int Index);
  void restart(int Index);
  void readStore(Instance &I);
  void onVerifiedRead(Instance &I, TimePoint ReadSentAt);
  void queryRelay(Instance &I, int Source);
  void requestGrants(int Index);
  LeaseReply replyOf(int Index, bool WantsGrants);
  void beginChange(Instance &I);
  void startChange(Instance &I, PrimaryRecord Next);
  void continueChange(Instance &I);
  void requestConsents(Instance &I);
  void order(Instance &I);
  void finishChange(Instance &I);
  /// Replaces the record under the conditions of a change of primary. Returns
  /// false if a condition failed.
  bool writeRecord(Instance &I, PrimaryRecord Expected, PrimaryRecord &Next);
  void maintainGrantors(Instance &I);
  void verify(int Index);
  void writeVerified(Instance &I);
  void noteEpoch(const PrimaryRecord &Record);
  [[nodiscard]] std::optional<std::string> violation() const;

  RandomSource Random;
  LeaseFault Fault;
  PromotionRulesOptions Rules;
  GrantorMaintenanceOptions Upkeep;
  RecordVerificationOptions Verifying;
  Content Store;
  StoreEra Era;
  std::deque<Snapshot> Snapshots;
  std::vector<LateWrite> LateWrites;
  std::vector<Instance> Instances;
  LeaseModelProfile Profile;
  /// The instance that the registry lacks at the moment, if any.
  std::size_t Unlisted = InstanceCount;
  /// A restore that strikes shortly after an order was sent.
  std::optional<TimePoint> RestoreAt;
  TimePoint Now;
  /// The member that was last ordered to be primary, and the one that is once
  /// the order has taken effect.
  UpstreamId Ordered{"m1"};
  UpstreamId Effective{"m1"};
  TimePoint EffectiveFrom;
  /// The primary of each epoch that was ever open.
  std::map<std::uint64_t, UpstreamId> Epochs;
  std::optional<std::string> EpochViolation;
  LeaseModelEvents Events;
};

} // namespace turmericpitch
