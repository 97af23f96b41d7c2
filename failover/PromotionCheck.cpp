#include "failover/PromotionCheck.h"

namespace turmericpitch {

std::string_view toString(CheckVerdict Verdict) {
  switch (Verdict) {
  case CheckVerdict::Open:
    return "open";
  case CheckVerdict::Proceed:
    return "proceed";
  case CheckVerdict::Refuse:
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
    this->Against.insert(From);
    return {};
  }
  const MemberStatus &Status = Answer.value().Status;
  // Another promoter was first; what it did must be learnt before anything.
  if (Status.Accepted > this->Options.Newest)
    this->NewerTerm = true;
  if (this->hearsPrimary(Status))
    this->Against.insert(From);
  else
    this->Without.insert(From);
  return {};
}

bool PromotionCheck::hearsPrimary(const MemberStatus &Status) const {
  // A deposed primary that hasn't noticed is none.
  if (Status.Role == MemberRole::Primary)
    return Status.Accepted == this->Options.Newest;
  return Status.PrimarySilence &&
         *Status.PrimarySilence < this->Options.HearingLimit;
}

CheckVerdict PromotionCheck::verdict() const {
  if (this->NewerTerm)
    return CheckVerdict::Refuse;
  std::size_t Majority = this->Target.Members.size() / 2 + 1;
  if (this->Without.size() >= Majority)
    return CheckVerdict::Proceed;
  std::size_t Possible = this->Target.Members.size() - this->Against.size();
  return Possible < Majority ? CheckVerdict::Refuse : CheckVerdict::Open;
}

} // namespace turmericpitch
