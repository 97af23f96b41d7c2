#include "membership/DutyLookup.h"

namespace turmericpitch {

std::optional<std::size_t> DutyLookup::rank(const DutyKey &Key,
                                            std::size_t Most) {
  return this->assignment()->rank(Key, this->Self, Most);
}

std::shared_ptr<const DutyAssignment> DutyLookup::assignment() {
  SharedMembership Newest = this->Members->current();
  std::lock_guard Lock(this->Guard);
  if (this->Seen != Newest || !this->Prepared) {
    this->Prepared = std::make_shared<const DutyAssignment>(*Newest);
    this->Seen = std::move(Newest);
  }
  return this->Prepared;
}

} // namespace turmericpitch
