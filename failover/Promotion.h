// One attempt to promote a replica, decided by a majority of the members.
#pragma once

#include "configuration/Objects.h"
#include "core/Member.h"

#include <map>
#include <set>

namespace turmericpitch {

/// A request to send to a member. Its outcome is passed to onOutcome().
struct MemberCall {
  UpstreamId Target;
  MemberRequest Request;
};

enum class PromotionStep { Fencing, Promoting, Following, Done, Failed };

/// The step's stable name in the decision log. Thread-safe.
std::string_view toString(PromotionStep Step);

/// Fences the old primary by having a majority accept a new term, promotes the
/// fenced member whose log is furthest ahead, and makes the others follow it.
/// Concurrent attempts are safe, as a member promises a term to only one
/// attempt. A member marked as leaving is chosen only if the others aren't a
/// majority. Pure; not thread-safe.
class Promotion {
public:
  /// Precondition: Next is newer than every known term, and Attempt is unique
  /// to this attempt.
  Promotion(Database Target, Term Next, std::string Attempt);

  /// The fencing requests to send, one for each member.
  std::vector<MemberCall> begin();
  /// Processes the outcome of a call and returns the calls to send next.
  std::vector<MemberCall> onOutcome(const UpstreamId &From,
                                    const Outcome<MemberAnswer> &Answer);

  [[nodiscard]] PromotionStep step() const { return this->Step; }
  [[nodiscard]] bool over() const {
    return this->Step == PromotionStep::Done ||
           this->Step == PromotionStep::Failed;
  }
  /// The member chosen for promotion; empty before the choice.
  [[nodiscard]] const UpstreamId &successor() const { return this->Successor; }
  [[nodiscard]] Term term() const { return this->Next; }

private:
  /// Promotes the fenced member whose log is furthest ahead once a majority is
  /// fenced. Until then, returns no calls.
  std::vector<MemberCall> choose();
  [[nodiscard]] bool isLeaving(const UpstreamId &Id) const;
  std::vector<MemberCall> followAll();
  [[nodiscard]] std::size_t majority() const;

  Database Target;
  Term Next;
  std::string Attempt;
  PromotionStep Step = PromotionStep::Fencing;
  std::map<UpstreamId, TermPosition> Fenced;
  std::set<UpstreamId> Refused;
  UpstreamId Successor;
};

} // namespace turmericpitch
