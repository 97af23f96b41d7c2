#include "membership/UpdateQueue.h"

namespace turmericpitch {

void UpdateQueue::push(const InstanceId &Id) {
  this->erase(Id);
  this->Counts.emplace(Id, 0);
  this->Order.insert({.Transmissions = 0, .Id = Id});
}

void UpdateQueue::erase(const InstanceId &Id) {
  auto Found = this->Counts.find(Id);
  if (Found == this->Counts.end())
    return;
  this->Order.erase({.Transmissions = Found->second, .Id = Id});
  this->Counts.erase(Found);
}

void UpdateQueue::noteTransmitted(const InstanceId &Id,
                                  unsigned MaxTransmissions) {
  auto Found = this->Counts.find(Id);
  this->Order.erase({.Transmissions = Found->second, .Id = Id});
  if (++Found->second >= MaxTransmissions) {
    this->Counts.erase(Found);
    return;
  }
  this->Order.insert({.Transmissions = Found->second, .Id = Id});
}

} // namespace turmericpitch
