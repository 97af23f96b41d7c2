#include "core/SkippedEntries.h"

#include "core/DecisionLog.h"

namespace turmericpitch {

void SkippedEntries::report(const KeyValueEntry &Entry, const Error &Reason) {
  auto [Known, New] = this->Reported.try_emplace(Entry.Key, Entry.Modified);
  if (!New && Known->second == Entry.Modified)
    return;
  Known->second = Entry.Modified;
  writeWarning("event=" + this->Event + " key=" + logValue(Entry.Key) +
               " reason=" + logValue(Reason.Message));
  if (this->Reported.size() > MaxRemembered)
    this->Reported.clear();
}

} // namespace turmericpitch
