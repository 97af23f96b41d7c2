// A bounded exhaustive search over interleavings of promotion and writing.
#pragma once

#include "failover/Promotion.h"
#include "routing/WriteConfirmation.h"
#include "stand_ins/MemberStandIn.h"

#include <array>
#include <memory>
#include <unordered_set>

namespace turmericpitch {

/// A rule left out on purpose, to show that the search notices.
enum class BrokenRule {
  None,
  /// Attempts share one name: a member promises a term to all of them.
  FenceWithoutAttempt,
  /// The heir is chosen by position, whatever term wrote it.
  ChooseByPosition,
  /// A replica counts for a write whatever term it accepts.
  ConfirmInAnyTerm,
  /// A repeat of an older term's write is confirmed by itself.
  ConfirmOldEntry,
};

struct ModelOptions {
  /// One attempt for each term named, by whichever promoter. An attempt that
  /// gets no further stands for a promoter that died.
  std::vector<Term> Attempts;
  unsigned Writes = 1;
  /// The first write has run at the first primary, and no replica holds it.
  bool FirstWriteRan = false;
  /// All writes carry one idempotency key.
  bool OneKey = false;
  /// Deliveries that leave the message in flight for another.
  unsigned Duplicates = 0;
  /// Batches in flight to one member at once; 0 means that a batch arrives
  /// as it is served.
  unsigned BatchesInFlight = 0;
  /// Whether a seal's answer may be lost; if not, only the seal itself may.
  bool RepliesMayBeLost = true;
  /// The first primary is marked as leaving: it hands over to a member that
  /// stays.
  bool FirstPrimaryLeaves = false;
  /// An attempt may applyBatch a seal for failed, whether or not it arrives
  /// later.
  bool FencingMayFail = false;
  /// A batch carries one entry, else all that the replica lacks.
  bool ShortBatches = false;
  BrokenRule Broken = BrokenRule::None;
};

/// What the search found.
struct ModelVerdict {
  /// Empty if every state kept the invariants; else the first violation
  /// with the steps that lead to it.
  std::string Violation;
  std::size_t States = 0;
  std::size_t Acknowledged = 0;
  std::size_t Promoted = 0;
};

/// Visits each state reachable within the options once. What is left out
/// changes no verdict:
/// - a message that is lost or late is one that isn't delivered yet;
/// - a restarted member keeps its state, so it is one whose messages were
///   lost; an attempt that was refused or gave up is one that goes no further;
/// - an acknowledgement changes no member, so it is given as early as the
///   commit rule allows;
/// - messages that a member will refuse for good are dropped.
/// Not thread-safe.
class PromotionModel {
public:
  explicit PromotionModel(ModelOptions Options);
  ModelVerdict search();

private:
  static constexpr std::size_t MemberCount = 3;
  /// A member with what the search asks of it most.
  struct Snapshot {
    MemberStandIn Member;
    MemberStatus Status;
    std::string Text;
  };
  using Members = std::array<std::shared_ptr<const Snapshot>, MemberCount>;

  /// One message in flight; exactly one of the payloads is used.
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
    /// The outcomes it has seen, for the state's stateHash.
    std::set<std::string> Seen;
  };
  /// A write that isn't acknowledged yet.
  struct Unconfirmed {
    TermPosition Entry;
    Term Under;
    auto operator<=>(const Unconfirmed &) const = default;
  };
  struct Acknowledged {
    TermPosition Entry;
    Term Under;
    /// The terms that wrote the log up to the entry.
    std::vector<Term> Prefix;
    auto operator<=>(const Acknowledged &) const = default;
  };
  struct TermLeader {
    std::size_t Member = 0;
    std::vector<Term> Log = {};
    bool operator==(const TermLeader &) const = default;
  };
  /// The steps that led here, newest first.
  struct Step {
    std::string Text;
    std::shared_ptr<const Step> Before;
  };
  struct State {
    Members At;
    std::vector<std::shared_ptr<const AttemptState>> Attempts;
    std::vector<SharedMessage> InFlight;
    /// Writes that ran and aren't acknowledged.
    std::set<Unconfirmed> Written;
    std::set<Acknowledged> Acks;
    std::map<Term, TermLeader> Leaders;
    unsigned WritesLeft = 0;
    unsigned DuplicatesLeft = 0;
    std::shared_ptr<const Step> Steps;
  };

  [[nodiscard]] State initialState() const;
  void visit(const State &From);
  void write(const State &From);
  [[nodiscard]] std::optional<State> afterWrite(const State &From, Term Under,
                                                std::size_t Member) const;
  void replicate(const State &From);
  void deliver(const State &From, std::size_t Index, bool Keep, bool Answered);
  void failFencing(const State &From, const Message &What);
  void deliverCall(State &Next, const Message &What, bool Answered) const;
  void send(State &Next, Message What) const;
  void sendCalls(State &Next, std::size_t Attempt,
                 const std::vector<MemberCall> &Calls) const;
  static std::shared_ptr<const Snapshot> snapshot(MemberStandIn Member);
  /// Runs Change on a copy of the member, which takes its place.
  template <typename Callable>
  static auto change(State &Next, std::size_t Member, Callable &&Change) {
    MemberStandIn Copy = Next.At[Member]->Member;
    auto Result = Change(Copy);
    Next.At[Member] = snapshot(std::move(Copy));
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
  ModelVerdict Verdict;
  std::unordered_set<std::string> Visited;
  std::vector<State> Frontier;
};

} // namespace turmericpitch
