#include "core/BoundedLog.h"

#include <algorithm>

namespace turmericpitch {

BoundedLog::BoundedLog(BoundedLogOptions Options)
    : Options(Options), Major{.PerSecond = Options.MajorPerSecond,
                              .Most = Options.MajorAtOnce,
                              .Left = Options.MajorAtOnce},
      Minor{.PerSecond = Options.MinorPerSecond,
            .Most = Options.MinorAtOnce,
            .Left = Options.MinorAtOnce} {}

bool BoundedLog::Budget::spend(TimePoint Now) {
  double Passed = std::chrono::duration<double>(Now - this->FilledAt).count();
  this->FilledAt = Now;
  this->Left = std::min(this->Most, this->Left + Passed * this->PerSecond);
  if (this->Left < 1)
    return false;
  this->Left -= 1;
  return true;
}

bool BoundedLog::fits(std::size_t Size) const {
  return this->Waiting.size() + Size < this->Options.MostBytes;
}

void BoundedLog::add(std::string_view Line, LogWeight Weight, TimePoint Now) {
  Budget &Of = Weight == LogWeight::Major ? this->Major : this->Minor;
  if (!this->fits(Line.size()) || !Of.spend(Now)) {
    ++this->Dropped;
    return;
  }
  if (this->Dropped > this->Told) {
    this->Waiting += "decision=log_dropped lines=" +
                     std::to_string(this->Dropped - this->Told) + "\n";
    this->Told = this->Dropped;
  }
  this->Waiting += Line;
  this->Waiting += '\n';
}

} // namespace turmericpitch
