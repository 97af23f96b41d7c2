#include "membership/UpdateQueue.h"

namespace turmericpitch {

void UpdateQueue::push(const InstanceId &Id) {
  this->erase(Id);
  this->Counts.emplace(Id, 0);
  this->Order.insert({.Told = 0, .Id = Id});
}

void UpdateQueue::erase(const InstanceId &Id) {
  auto Found = this->Counts.find(Id);
  if (Found == this->Counts.end())
    return;
  this->Order.erase({.Told = Found->second, .Id = Id});
  this->Counts.erase(Found);
}

void UpdateQueue::noteTold(const InstanceId &Id, unsigned Limit) {
  auto Found = this->Counts.find(Id);
  this->Order.erase({.Told = Found->second, .Id = Id});
  if (++Found->second >= Limit) {
    this->Counts.erase(Found);
    return;
  }
  this->Order.insert({.Told = Found->second, .Id = Id});
}

} // namespace turmericpitch
