// Bounded exhaustive search over the interleavings of promotions and writes.
#pragma once

#include "failover/Promotion.h"
#include "routing/WriteConfirmation.h"
#include "stand_ins/MemberStandIn.h"

#include <array>
#include <memory>
#include <unordered_set>

namespace turmericpitch {

/// A rule that is disabled to verify that the search detects the violation.
enum class BrokenRule {
  None,
  /// All attempts share one name, so a member promises a term to all of them.
  FenceWithoutAttempt,
  /// The successor is chosen by position, regardless of the entry's term.
  ChooseByPosition,
  /// A replica confirms a write regardless of the term that it accepts.
  ConfirmInAnyTerm,
  /// A retry of a write of an older term is confirmed by the old entry.
  ConfirmOldEntry,
};

struct ModelOptions {
  /// The term of each attempt. An attempt that makes no further progress models
  /// a promoter that crashed.
  std::vector<Term> Attempts;
  unsigned Writes = 1;
  /// The first write was executed at the first primary, and no replica has it.
  bool FirstWriteExecuted = false;
  /// All writes have the same idempotency key.
  bool OneKey = false;
  /// Number of deliveries after which a copy of the message stays in flight.
  unsigned Duplicates = 0;
  /// Maximum number of batches in flight to one member; with 0, a batch arrives
  /// as soon as it is served.
  unsigned BatchesInFlight = 0;
  /// Whether the reply to a fencing request may be lost; else only the request
  /// may.
  bool RepliesMayBeLost = true;
  /// The first primary is marked as leaving and hands over to a staying member.
  bool FirstPrimaryLeaves = false;
  /// An attempt may consider a fencing request failed even if it arrives later.
  bool FencingMayFail = false;
  /// Whether a batch contains one entry; else all that the replica lacks.
  bool ShortBatches = false;
  BrokenRule Broken = BrokenRule::None;
};

/// The result of the search.
struct SearchResult {
  /// Empty if the invariants hold in every state; else the first violation and
  /// the steps that lead to it.
  std::string Violation;
  std::size_t States = 0;
  std::size_t Acknowledged = 0;
  std::size_t Promoted = 0;
};

/// Visits each state that is reachable within the options once. These
/// reductions don't change the result:
/// - a lost or delayed message is one that hasn't been delivered yet;
/// - a restarted member keeps its state, so a restart equals the loss of its
///   messages; an attempt that was refused or abandoned makes no progress;
/// - an acknowledgement changes no member, so it is issued as early as the
///   commit rule allows;
/// - messages that a member will always refuse are dropped.
/// Not thread-safe.
class PromotionModel {
public:
  explicit PromotionModel(ModelOptions Options);
  SearchResult search();

private:
  static constexpr std::size_t MemberCount = 3;
  /// A member with its cached status and text.
  struct Snapshot {
    MemberStandIn Member;
    MemberStatus Status;
    std::string Text;
  };
  using Members = std::array<std::shared_ptr<const Snapshot>, MemberCount>;

  /// A message in flight, either a request or a batch.
  struct Message {
    std::size_t Target = 0;
    std::string Text = {};
    std::optional<std::size_t> Attempt = std::nullopt;
    MemberRequest Request = {};
    std::optional<ReplicationBatch> Batch = std::nullopt;
  };
  using SharedMessage = std::shared_ptr<const Message>;

  struct AttemptState {
    Promotion Running;
    /// The outcomes that it has processed, for the state's hash.
    std::set<std::string> ProcessedOutcomes;
  };
  /// A write that hasn't been acknowledged yet.
  struct Unconfirmed {
    TermPosition Entry;
    Term WriteTerm;
    auto operator<=>(const Unconfirmed &) const = default;
  };
  struct Acknowledged {
    TermPosition Entry;
    Term WriteTerm;
    /// The terms of the log entries up to and including this entry.
    std::vector<Term> Prefix;
    auto operator<=>(const Acknowledged &) const = default;
  };
  struct TermPrimary {
    std::size_t Member = 0;
    std::vector<Term> Log = {};
    bool operator==(const TermPrimary &) const = default;
  };
  /// The steps that led to a state, newest first.
  struct Step {
    std::string Text;
    std::shared_ptr<const Step> Before;
  };
  struct State {
    Members MemberAt;
    std::vector<std::shared_ptr<const AttemptState>> Attempts;
    std::vector<SharedMessage> InFlight;
    /// Writes that were executed but not acknowledged.
    std::set<Unconfirmed> Written;
    std::set<Acknowledged> Acks;
    std::map<Term, TermPrimary> Primaries;
    unsigned WritesLeft = 0;
    unsigned DuplicatesLeft = 0;
    std::shared_ptr<const Step> Steps;
  };

  [[nodiscard]] State initialState() const;
  void visit(const State &From);
  void write(const State &From);
  [[nodiscard]] std::optional<State>
  afterWrite(const State &From, Term WriteTerm, std::size_t Member) const;
  void replicate(const State &From);
  void deliver(const State &From, std::size_t Index, bool Keep, bool Answered);
  void failFencing(const State &From, const Message &Msg);
  void deliverCall(State &Next, const Message &Msg, bool Answered) const;
  void send(State &Next, Message Msg) const;
  void sendCalls(State &Next, std::size_t Attempt,
                 const std::vector<MemberCall> &Calls) const;
  static std::shared_ptr<const Snapshot> snapshot(MemberStandIn Member);
  /// Replaces the member by a copy to which Change was applied.
  template <typename Callable>
  static auto change(State &Next, std::size_t Member, Callable &&Change) {
    MemberStandIn Copy = Next.MemberAt[Member]->Member;
    auto Result = Change(Copy);
    Next.MemberAt[Member] = snapshot(std::move(Copy));
    return Result;
  }
  static Outcome<MemberAnswer> call(State &Next, std::size_t Member,
                                    const MemberRequest &Request);
  static void applyBatch(State &Next, std::size_t Member,
                         const ReplicationBatch &Batch);
  static void recordStep(State &Next, std::string Text);
  void enqueue(const State &Before, State Next);
  void checkMember(const State &Before, State &Next, std::size_t Index);
  [[nodiscard]] Unconfirmed unconfirmedWrite(const MemberAnswer &Answer,
                                             std::size_t Member) const;
  void acknowledge(State &Next);
  void checkAcknowledged(const State &Next);
  void dropIneffective(State &Next) const;
  void fail(const State &Next, const std::string &Rule);
  [[nodiscard]] static std::string stateHash(const State &S);

  ModelOptions Options;
  SearchResult Result;
  std::unordered_set<std::string> Visited;
  std::vector<State> Frontier;
};

} // namespace turmericpitch
