#include "failover/PromotionCheck.h"

namespace turmericpitch {

std::string_view toString(PromotionCheckDecision Decision) {
  switch (Decision) {
  case PromotionCheckDecision::Open:
    return "open";
  case PromotionCheckDecision::Proceed:
    return "proceed";
  case PromotionCheckDecision::Refuse:
    break;
  }
  return "refuse";
}

PromotionCheck::PromotionCheck(Database Target, PromotionCheckOptions Options)
    : Target(std::move(Target)), Options(Options) {}

std::vector<MemberCall> PromotionCheck::begin() const {
  std::vector<MemberCall> Calls;
  for (const DatabaseMember &Member : this->Target.Members)
    Calls.push_back({.Target = Member.Id, .Request = StatusRequest{}});
  return Calls;
}

std::vector<MemberCall>
PromotionCheck::onOutcome(const UpstreamId &From,
                          const Outcome<MemberAnswer> &Answer) {
  if (!Answer) {
    this->Objecting.insert(From);
    return {};
  }
  const MemberStatus &Status = Answer.value().Status;
  // Another promoter has started a newer term. Its outcome must be known
  // before another attempt.
  if (Status.AcceptedTerm > this->Options.Newest)
    this->NewerTerm = true;
  if (this->reportsLivePrimary(Status))
    this->Objecting.insert(From);
  else
    this->WithoutPrimary.insert(From);
  return {};
}

bool PromotionCheck::reportsLivePrimary(const MemberStatus &Status) const {
  // A primary of an older term doesn't count, even if it hasn't noticed that
  // it was replaced.
  if (Status.Role == MemberRole::Primary)
    return Status.AcceptedTerm == this->Options.Newest;
  return Status.PrimarySilence &&
         *Status.PrimarySilence < this->Options.PrimarySilenceTimeout;
}

PromotionCheckDecision PromotionCheck::decision() const {
  if (this->NewerTerm)
    return PromotionCheckDecision::Refuse;
  std::size_t Majority = this->Target.Members.size() / 2 + 1;
  if (this->WithoutPrimary.size() >= Majority)
    return PromotionCheckDecision::Proceed;
  std::size_t Possible = this->Target.Members.size() - this->Objecting.size();
  return Possible < Majority ? PromotionCheckDecision::Refuse
                             : PromotionCheckDecision::Open;
}

} // namespace turmericpitch
