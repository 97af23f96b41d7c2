// One attempt to promote a replica, with the members as arbiters.
#pragma once

#include "configuration/Objects.h"
#include "core/Member.h"

#include <map>
#include <set>

namespace turmericpitch {

/// A request to send to a member; answer with onOutcome().
struct MemberCall {
  UpstreamId Target;
  MemberRequest Request;
};

enum class PromotionStep { Fencing, Promoting, Following, Done, Failed };

/// The step's stable name in the decision log. Thread-safe.
std::string_view toString(PromotionStep Step);

/// Seals a new term at a majority, promotes the sealed member whose log is
/// furthest, and has the others follow it. Safe with any number of attempts
/// at once: a member promises one term to one attempt. A member marked as
/// isLeaving is chosen only if the others are no majority. Pure; not
/// thread-safe.
class Promotion {
public:
  /// Next must be newer than every term seen; Attempt is unique to this
  /// attempt.
  Promotion(Database Target, Term Next, std::string Attempt);

  /// The seals to send, to every member.
  std::vector<MemberCall> begin();
  /// The calls that follow from an outcome.
  std::vector<MemberCall> onOutcome(const UpstreamId &From,
                                    const Outcome<MemberAnswer> &Answer);

  [[nodiscard]] PromotionStep step() const { return this->Step; }
  [[nodiscard]] bool over() const {
    return this->Step == PromotionStep::Done ||
           this->Step == PromotionStep::Failed;
  }
  /// The member chosen; empty before that.
  [[nodiscard]] const UpstreamId &successor() const { return this->Successor; }
  [[nodiscard]] Term term() const { return this->Next; }

private:
  /// Promotes the furthest sealed member once enough are sealed.
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
