#include "core/EventQueue.h"

#include <algorithm>

namespace turmericpitch {

void EventQueue::scheduleAt(TimePoint DueAt, Task Work) {
  this->Pending.emplace(std::max(DueAt, this->now()), std::move(Work));
}

void EventQueue::scheduleAfter(Duration Delay, Task Work) {
  this->scheduleAt(this->now() + Delay, std::move(Work));
}

bool EventQueue::runNext() {
  if (this->Pending.empty())
    return false;
  auto First = this->Pending.extract(this->Pending.begin());
  this->Time.advanceTo(First.key());
  First.mapped()();
  return true;
}

void EventQueue::runUntil(TimePoint Until) {
  while (!this->Pending.empty() && this->Pending.begin()->first <= Until)
    this->runNext();
  this->Time.advanceTo(std::max(Until, this->now()));
}

} // namespace turmericpitch
