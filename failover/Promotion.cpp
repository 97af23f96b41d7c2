#include "failover/Promotion.h"

#include <algorithm>

namespace turmericpitch {

std::string_view toString(PromotionStep Step) {
  switch (Step) {
  case PromotionStep::Fencing:
    return "sealing";
  case PromotionStep::Promoting:
    return "promoting";
  case PromotionStep::Following:
    return "following";
  case PromotionStep::Done:
    return "done";
  case PromotionStep::Failed:
    break;
  }
  return "failed";
}

Promotion::Promotion(Database Target, Term Next, std::string Attempt)
    : Target(std::move(Target)), Next(Next), Attempt(std::move(Attempt)) {}

std::size_t Promotion::majority() const {
  return this->Target.Members.size() / 2 + 1;
}

std::vector<MemberCall> Promotion::begin() {
  std::vector<MemberCall> Calls;
  for (const DatabaseMember &Member : this->Target.Members)
    Calls.push_back({.Target = Member.Id,
                     .Request = FenceRequest{.NextTerm = this->Next,
                                             .Attempt = this->Attempt}});
  return Calls;
}

std::vector<MemberCall>
Promotion::onOutcome(const UpstreamId &From,
                     const Outcome<MemberAnswer> &Answer) {
  if (this->Step == PromotionStep::Fencing) {
    if (Answer) {
      this->Fenced[From] = Answer.value().Status.LastEntry;
      return this->choose();
    }
    this->Refused.insert(From);
    std::size_t NotRefused = this->Target.Members.size() - this->Refused.size();
    if (NotRefused >= this->majority())
      return this->choose();
    this->Step = PromotionStep::Failed;
    return {};
  }
  if (this->Step == PromotionStep::Promoting && From == this->Successor) {
    if (Answer)
      return this->followAll();
    this->Step = PromotionStep::Failed;
  }
  return {};
}

bool Promotion::isLeaving(const UpstreamId &Id) const {
  auto Found = std::find_if(
      this->Target.Members.begin(), this->Target.Members.end(),
      [&](const DatabaseMember &Member) { return Member.Id == Id; });
  return Found != this->Target.Members.end() && Found->Leaving;
}

std::vector<MemberCall> Promotion::choose() {
  // Any majority of fenced members holds all acknowledged entries, so a
  // majority of staying members suffices.
  std::map<UpstreamId, TermPosition> Staying = this->Fenced;
  std::erase_if(Staying,
                [&](const auto &Each) { return this->isLeaving(Each.first); });
  std::size_t StayingCandidates = static_cast<std::size_t>(std::count_if(
      this->Target.Members.begin(), this->Target.Members.end(),
      [&](const DatabaseMember &Member) {
        return !Member.Leaving && !this->Refused.contains(Member.Id);
      }));
  bool StayingSuffice = StayingCandidates >= this->majority();
  const auto &Choice = StayingSuffice ? Staying : this->Fenced;
  if (Choice.size() < this->majority())
    return {};
  auto Furthest = std::max_element(
      Choice.begin(), Choice.end(),
      [](const auto &L, const auto &R) { return L.second < R.second; });
  this->Successor = Furthest->first;
  this->Step = PromotionStep::Promoting;
  return {{.Target = this->Successor,
           .Request = PromoteRequest{.NextTerm = this->Next,
                                     .Attempt = this->Attempt,
                                     .ExpectedEntry = Furthest->second}}};
}

std::vector<MemberCall> Promotion::followAll() {
  this->Step = PromotionStep::Done;
  std::vector<MemberCall> Calls;
  for (const DatabaseMember &Member : this->Target.Members)
    if (Member.Id != this->Successor)
      Calls.push_back({.Target = Member.Id,
                       .Request = FollowRequest{.NextTerm = this->Next,
                                                .Primary = this->Successor}});
  return Calls;
}

} // namespace turmericpitch
