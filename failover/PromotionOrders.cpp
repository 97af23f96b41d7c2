#include "failover/PromotionOrders.h"

#include <algorithm>

namespace turmericpitch {

std::string_view toString(OrderFate Fate) {
  switch (Fate) {
  case OrderFate::NotSent:
    return "not_sent";
  case OrderFate::Refused:
    return "member_not_running";
  case OrderFate::Taken:
    return "taken";
  case OrderFate::Unknown:
    break;
  }
  return "lost";
}

void PromotionOrders::add(GivenOrder Order) {
  bool MayTakeEffect =
      Order.Fate == OrderFate::Taken || Order.Fate == OrderFate::Unknown;
  if (MayTakeEffect)
    this->Outstanding.push_back(std::move(Order));
}

const GivenOrder *PromotionOrders::decisive() const {
  return this->Outstanding.empty() ? nullptr : &this->Outstanding.back();
}

bool PromotionOrders::mayKeep(const UpstreamId &Former,
                              std::span<const TermReport> Reports) const {
  auto Own = std::ranges::find(Reports, Former, &TermReport::Member);
  bool Follows = Own != Reports.end() && !Own->Leads;
  if (!this->Outstanding.empty() || Follows)
    return false;
  return std::ranges::none_of(Reports, [&](const TermReport &Each) {
    return Each.Leads && Each.Member != Former &&
           (Own == Reports.end() || Each.Newest > Own->Newest);
  });
}

bool PromotionOrders::isInEffect(const TermReport &Report) const {
  const GivenOrder *Order = this->decisive();
  if (!Order || !Report.Leads || Report.Member != Order->Target)
    return false;
  if (Order->Before && Report.Newest > *Order->Before)
    return true;
  return Order->Fate == OrderFate::Taken && Report.AskedAt &&
         *Report.AskedAt >= Order->EndedAt + this->Options.EffectTimeout;
}

TimePoint PromotionOrders::nextOrderAt(const UpstreamId &Target) const {
  TimePoint At{};
  for (const GivenOrder &Each : this->Outstanding)
    if (Each.Target != Target || Target.Value.empty())
      At = std::max(At, Each.EndedAt + this->Options.EffectTimeout);
  return At;
}

} // namespace turmericpitch
