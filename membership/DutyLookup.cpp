#include "membership/DutyLookup.h"

namespace turmericpitch {

std::optional<std::size_t> DutyLookup::rank(const DutyKey &Key,
                                            std::size_t Count) {
  return this->assignment()->rank(Key, this->Self, Count);
}

std::shared_ptr<const DutyAssignment> DutyLookup::assignment() {
  SharedMembership Newest = this->Members->current();
  std::lock_guard Lock(this->Mutex);
  if (this->CachedSnapshot != Newest || !this->CachedAssignment) {
    this->CachedAssignment = std::make_shared<const DutyAssignment>(*Newest);
    this->CachedSnapshot = std::move(Newest);
  }
  return this->CachedAssignment;
}

} // namespace turmericpitch
