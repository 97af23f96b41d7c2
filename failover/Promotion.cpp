#include "failover/Promotion.h"

#include <algorithm>

namespace turmericpitch {

std::string_view toString(PromotionStep Step) {
  switch (Step) {
  case PromotionStep::Sealing:
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
    Calls.push_back(
        {.Target = Member.Id,
         .Request = SealRequest{.Next = this->Next, .Attempt = this->Attempt}});
  return Calls;
}

std::vector<MemberCall>
Promotion::onOutcome(const UpstreamId &From,
                     const Outcome<MemberAnswer> &Answer) {
  if (this->Step == PromotionStep::Sealing) {
    if (Answer)
      return this->onSealed(From, Answer.value().Status);
    this->Refused.insert(From);
    std::size_t Left = this->Target.Members.size() - this->Refused.size();
    if (Left < this->majority())
      this->Step = PromotionStep::Failed;
    return {};
  }
  if (this->Step == PromotionStep::Promoting && From == this->Heir) {
    if (Answer)
      return this->followAll();
    this->Step = PromotionStep::Failed;
  }
  return {};
}

std::vector<MemberCall> Promotion::onSealed(const UpstreamId &From,
                                            const MemberStatus &Status) {
  this->Sealed[From] = Status.Received;
  if (this->Sealed.size() < this->majority())
    return {};
  auto Furthest = std::max_element(
      this->Sealed.begin(), this->Sealed.end(),
      [](const auto &L, const auto &R) { return L.second < R.second; });
  this->Heir = Furthest->first;
  this->Step = PromotionStep::Promoting;
  return {{.Target = this->Heir,
           .Request = PromoteRequest{.Next = this->Next,
                                     .Attempt = this->Attempt,
                                     .ChosenAt = Furthest->second}}};
}

std::vector<MemberCall> Promotion::followAll() {
  this->Step = PromotionStep::Done;
  std::vector<MemberCall> Calls;
  for (const DatabaseMember &Member : this->Target.Members)
    if (Member.Id != this->Heir)
      Calls.push_back({.Target = Member.Id,
                       .Request = FollowRequest{.Next = this->Next,
                                                .Primary = this->Heir}});
  return Calls;
}

} // namespace turmericpitch
