#include "core/BoundedLog.h"

#include <algorithm>

namespace turmericpitch {

BoundedLog::BoundedLog(BoundedLogOptions Options)
    : Options(Options), Major{.RefillPerSecond = Options.MajorPerSecond,
                              .Capacity = Options.MajorBurst,
                              .Tokens = Options.MajorBurst},
      Minor{.RefillPerSecond = Options.MinorPerSecond,
            .Capacity = Options.MinorBurst,
            .Tokens = Options.MinorBurst} {}

bool BoundedLog::TokenBucket::consume(TimePoint Now) {
  double Passed = std::chrono::duration<double>(Now - this->RefilledAt).count();
  this->RefilledAt = Now;
  this->Tokens =
      std::min(this->Capacity, this->Tokens + Passed * this->RefillPerSecond);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

bool BoundedLog::fits(std::size_t Size) const {
  return this->Pending.size() + Size < this->Options.MaxPendingBytes;
}

void BoundedLog::add(std::string_view Line, LogPriority Priority,
                     TimePoint Now) {
  TokenBucket &Bucket =
      Priority == LogPriority::Major ? this->Major : this->Minor;
  if (!this->fits(Line.size()) || !Bucket.consume(Now)) {
    ++this->Dropped;
    return;
  }
  if (this->Dropped > this->ReportedDropped) {
    this->Pending += "decision=log_dropped lines=" +
                     std::to_string(this->Dropped - this->ReportedDropped) +
                     "\n";
    this->ReportedDropped = this->Dropped;
  }
  this->Pending += Line;
  this->Pending += '\n';
}

} // namespace turmericpitch
