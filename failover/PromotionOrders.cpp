#include "failover/PromotionOrders.h"

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

bool PromotionOrders::isInEffect(const TermReport &Report) const {
  const GivenOrder *Order = this->decisive();
  if (!Order || !Report.Leads || Report.Member != Order->Target)
    return false;
  if (Order->Before && Report.Newest > *Order->Before)
    return true;
  return Order->Fate == OrderFate::Taken && Report.AskedAt &&
         *Report.AskedAt >= Order->EndedAt + this->Options.EffectTimeout;
}

} // namespace turmericpitch
