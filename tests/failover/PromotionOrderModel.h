// Model of a service whose promoters order promotions, with members that are
// cut off, end and return, orders whose outcome is lost, and promoters that end
// between two steps. The promoter decides with the real classes.
#pragma once

#include "core/RandomSource.h"
#include "failover/PrimaryRecord.h"
#include "failover/SuccessorRules.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace turmericpitch {

/// The condition that a model leaves out, to show that the rules need it.
enum class OrderFault : std::uint8_t {
  None,
  /// Keeps a primary that was to hand over, whatever was ordered.
  KeepsDespiteOrders,
  /// A refused order makes the promoter forget earlier ones.
  ForgetsOrdersAfterRefusal,
  /// A promoter that takes a record over knows of no order.
  ForgetsInheritedOrders,
  /// An order without an answer counts as one that wasn't taken.
  ForgetsLostOrders,
  /// Any member that says it is primary counts as promoted.
  CountsAnyLeader,
  /// A member that leads an old term counts as promoted at once.
  TrustsOldLeadersAtOnce,
  /// The same without an answer to the order.
  TrustsLostOrders,
  /// Orders a member while an earlier order may still take effect.
  OrdersAtOnce,
};

struct PromotionOrderModelOptions {
  std::uint32_t SynchronousReplicas = 0;
  OrderFault Fault = OrderFault::None;
};

/// Counts of what happened in a run.
struct PromotionOrderEvents {
  int Kept = 0;
  int Promotions = 0;
  /// Promotions of the former primary itself.
  int Renewals = 0;
  int Refusals = 0;
  int LostOrders = 0;
  int TakeOvers = 0;
  /// Promotions that took effect while nobody saw them.
  int Unseen = 0;
};

/// One randomized run. Not thread-safe.
class PromotionOrderModel {
public:
  PromotionOrderModel(std::uint64_t Seed, PromotionOrderModelOptions Options)
      : Options(Options), Random(Seed) {}

  /// Returns the first write at a superseded primary, with the steps to it.
  std::optional<std::string> run();
  [[nodiscard]] const PromotionOrderEvents &events() const {
    return this->Events;
  }

private:
  static constexpr std::size_t MemberCount = 3;
  struct Member {
    UpstreamId Id;
    bool Running = true;
    /// Neither promoters nor other members reach it.
    bool Cut = false;
    /// The term that it leads; nothing if it follows.
    std::optional<Term> Leads = std::nullopt;
    Term Known{1};
    TermPosition End = {.WrittenIn = {1}, .Position = {1}};
  };
  struct PendingOrder {
    std::size_t Target = 0;
    TimePoint ArrivesAt;
    TimePoint EffectAt;
    bool Arrived = false;
  };
  enum class Step : std::uint8_t { Closing, Searching, Awaiting };
  struct Promoter {
    FailoverReason Reason = FailoverReason::Lost;
    Step At = Step::Closing;
    TimePoint Until;
    TimePoint SearchBeganAt;
    PromotionOrders Orders = PromotionOrders();
    std::array<std::optional<ReplicaState>, MemberCount> Replies = {};
    std::vector<TermReport> Terms = {};
    std::array<bool, MemberCount> Refused = {};
  };

  [[nodiscard]] bool chance(std::uint32_t OneIn) {
    return this->Random.nextBelow(OneIn) == 0;
  }
  [[nodiscard]] Duration upTo(Duration Longest);
  [[nodiscard]] Member &primary();
  [[nodiscard]] bool reachable(const Member &Each) const {
    return Each.Running && !Each.Cut;
  }
  void disturb();
  void restart(Member &Each);
  void replicate();
  void takeEffect();
  void begin();
  void takeOver(Promoter &P);
  void ask(Promoter &P);
  void search(Promoter &P);
  [[nodiscard]] SuccessorSearch searchOf(const Promoter &P) const;
  void order(Promoter &P, const UpstreamId &Target);
  [[nodiscard]] bool isInEffect(const Promoter &P,
                                const TermReport &Report) const;
  bool openIfInEffect(const TermReport &Report);
  void open(const UpstreamId &Primary, Term Led, bool Promoted);
  void advance();
  [[nodiscard]] std::optional<std::string> violation() const;
  void recordStep(const std::string &Text);

  PromotionOrderModelOptions Options;
  RandomSource Random;
  PromotionOrderEvents Events;
  TimePoint Now{std::chrono::hours(1)};
  std::array<Member, MemberCount> Members;
  /// The member that was promoted last, and the newest term.
  std::size_t Present = 0;
  Term Newest{1};
  std::vector<PendingOrder> Pending;
  PrimaryRecord Record;
  TimePoint RecordWrittenAt;
  std::optional<Promoter> Active;
  std::string Steps;
};

} // namespace turmericpitch
